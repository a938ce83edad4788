"""What a request says of its prompt, and what is decided from that alone."""

from typing import NamedTuple

from ..http.message import Request
from ..prompts.affinity import routing_key
from ..prompts.prefix import Part, parse_prefix, parse_token_count

GENERATED_WEIGHT = 10  # prompt tokens that a generated one costs: the operators' measure of size


class Prompt(NamedTuple):
    """A request's prompt."""

    model: str | None
    parts: tuple[Part, ...]
    tokens: int  # of the prompt
    generated: int  # the most that it generates

    @property
    def size(self) -> float:
        """What it costs in prompt tokens when nothing of it is kept."""
        return self.tokens + GENERATED_WEIGHT * self.generated

    def key(self, salt: str) -> str | None:
        """What its home is hashed from; None without parts."""
        return routing_key(self.parts, salt) if self.parts else None


def read_prompt(request: Request) -> Prompt:
    """The prompt that the headers of a request tell of."""
    parts = parse_prefix(request.header("hopsail-prompt-prefix") or "")
    count = parse_token_count(request.header("hopsail-token-count") or "")
    tokens = count.prompt or sum(part.tokens for part in parts)
    return Prompt(request.header("hopsail-model"), parts, tokens, count.most_generated)
