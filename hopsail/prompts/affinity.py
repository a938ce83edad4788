"""Which text of a prompt is hashed onto the ring: its shared prefix that is worth most to keep."""

from collections.abc import Sequence

from .prefix import Part

SALT_END = "|"  # not in any salt
PART_END = ","  # not in any identifier
LEAST_LARGE = 512  # tokens: a smaller part is read in the time that a move of it takes to begin


def shared_prefix(parts: Sequence[Part]) -> Sequence[Part]:
    """The prefix up to the largest shared part, the first of equals; the whole one where none is large.

    The last part belongs to the request or its session and is left out, unless it is the only one. A part is
    of use only with all parts before it, so the whole prefix is taken. Small parts are soon kept by every
    host: there the finest key is best, as a few beginnings that all prompts share would crowd a few hosts.
    """
    shared = parts[:-1] or parts
    largest = max(range(len(shared)), key=lambda index: shared[index].tokens, default=-1)
    if largest >= 0 and shared[largest].tokens < LEAST_LARGE:
        return shared
    return shared[: largest + 1]


def routing_key(parts: Sequence[Part], salt: str) -> str:
    """The text that is hashed onto the ring, "" for a prompt whose parts are not known."""
    prefix = shared_prefix(parts)
    if not prefix:
        return ""
    return salt + SALT_END + PART_END.join(part.identifier for part in prefix)
