"""What the operator's calls and those for tallies answer alike: JSON, counted by status."""

from ..http.server import Exchange
from ..net.counters import Counters

JSON_TYPE = ("content-type", "application/json")
UNAVAILABLE_RETRY_AFTER = "0.1"  # s


def respond_json(exchange: Exchange, counters: Counters, status: int, body: bytes) -> None:
    """Answers a call; with 503, also when to come back."""
    counters.add(f"operator.answers.{status}")
    headers = [JSON_TYPE]
    if status == 503:
        headers.append(("retry-after", UNAVAILABLE_RETRY_AFTER))
    exchange.respond(status, body, headers)


def is_text(value: object) -> bool:
    """Whether it is text that UTF-8 can carry, not empty: no half of a surrogate pair."""
    return (
        type(value) is str
        and value != ""
        and not any("\ud800" <= character <= "\udfff" for character in value)
    )
