"""A bounded table of which sources keep how much of which parts, packed: most parts have one keeper.

A source is known here by its life, a number that is never used again; entries of lives that are over make
room as they are met. The least recently touched part goes first."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping

TOKEN_BITS = 32  # an entry packs the life, the feeds that tell it and its tokens into one integer
MOST_TOKENS = (1 << TOKEN_BITS) - 1
MOST_FEEDS = 16  # that tell entries at a time
AMOUNT_BITS = TOKEN_BITS + MOST_FEEDS  # of an entry without its life: tokens, and a bit for each feed
AMOUNT_MASK = (1 << AMOUNT_BITS) - 1
FEEDS_MASK = AMOUNT_MASK ^ MOST_TOKENS


class KeptEntries:
    """At most `most` entries. `names` maps the lives that count to sources; it belongs to the caller.

    A part that one source keeps has one packed integer; one that several keep has amounts by life."""

    def __init__(self, most: int, names: Mapping[int, str]):
        self.most, self.names = most, names
        self.parts: OrderedDict[int, int | dict[int, int]] = OrderedDict()  # by a hash of the part
        self._size = 0

    def __len__(self) -> int:
        """Pairs of a part and a source, also those of lives that are over and not yet replaced."""
        return self._size

    def set(self, life: int, part: int, tokens: int, feeds: int = 0) -> None:
        """Note an entry, with the bits of the feeds that tell it besides those that already do."""
        feeds |= self._amount(life, part) >> TOKEN_BITS if feeds else 0
        self._put(life, part, feeds << TOKEN_BITS | min(tokens, MOST_TOKENS))
        self._shrink()

    def remove(self, life: int, part: int) -> None:
        """Drop an entry, if there is one."""
        kept = self.parts.get(part)
        if isinstance(kept, dict):
            self._size -= kept.pop(life, None) is not None
            if not kept:
                del self.parts[part]
        elif kept is not None and _unpack(kept)[0] == life:
            del self.parts[part]
            self._size -= 1

    def retract(self, life: int, part: int, feed: int) -> None:
        """Take a feed's bit off an entry; without feeds it goes, unless none had told it."""
        amount = self._amount(life, part)
        feeds = amount >> TOKEN_BITS
        if not feeds & feed:
            return
        if feeds == feed:
            self.remove(life, part)
        else:
            self._put(life, part, amount ^ feed << TOKEN_BITS)

    def retract_all(self, feed: int) -> None:
        """Take a feed's bit off all entries."""
        mark = feed << TOKEN_BITS
        for part, kept in list(self.parts.items()):
            if isinstance(kept, dict):
                for life in list(kept):
                    self.retract(life, part, feed)
            elif kept & FEEDS_MASK == mark:
                del self.parts[part]
                self._size -= 1
            elif kept & mark:
                self.parts[part] = kept ^ mark

    def tokens(self, life: int, part: int) -> int:
        """Tokens of one entry, 0 when there is none; the part becomes the latest touched."""
        if part in self.parts:
            self.parts.move_to_end(part)
        return self._amount(life, part) & MOST_TOKENS

    def holders(self, part: int) -> Iterator[tuple[str, int]]:
        """Sources that keep a part, with its tokens; the part becomes the latest touched."""
        kept = self.parts.get(part)
        if kept is None:
            return
        self.parts.move_to_end(part)
        if isinstance(kept, dict):
            self._drop_over(kept)
        pairs = kept.items() if isinstance(kept, dict) else (_unpack(kept),)
        for life, amount in pairs:
            host = self.names.get(life)
            if host is not None:
                yield host, amount & MOST_TOKENS

    def _amount(self, life: int, part: int) -> int:
        """Tokens, and bits of the feeds that tell them, of one entry; 0 when there is none."""
        kept = self.parts.get(part)
        if kept is None:
            return 0
        if isinstance(kept, dict):
            return kept.get(life, 0)
        return kept & AMOUNT_MASK if kept >> AMOUNT_BITS == life else 0

    def _put(self, life: int, part: int, amount: int) -> None:
        kept = self.parts.get(part)
        if kept is None:
            self.parts[part] = life << AMOUNT_BITS | amount
            self._size += 1
            return
        self.parts.move_to_end(part)
        if not isinstance(kept, dict):
            other, other_amount = _unpack(kept)
            if other == life or other not in self.names:
                self.parts[part] = life << AMOUNT_BITS | amount
                return
            kept = self.parts[part] = {other: other_amount}
        self._size += life not in kept
        kept[life] = amount
        if len(kept) > 2 * len(self.names):
            self._drop_over(kept)

    def _drop_over(self, kept: dict[int, int]) -> None:
        """Take out what lives that are over have kept."""
        for life in [life for life in kept if life not in self.names]:
            del kept[life]
            self._size -= 1

    def _shrink(self) -> None:
        while self._size > self.most:
            _, kept = self.parts.popitem(last=False)
            self._size -= len(kept) if isinstance(kept, dict) else 1


def _unpack(kept: int) -> tuple[int, int]:
    """Life and amount of a packed entry."""
    return kept >> AMOUNT_BITS, kept & AMOUNT_MASK
