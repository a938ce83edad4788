"""Which control processes a data plane follows."""

from collections.abc import Callable, Iterable

from ..feed.follower import Follower

Address = tuple[str, int]

MILLISECOND = 1_000_000
LEAST_FOLLOWED = 3
SILENT_TIME = 2500 * MILLISECOND  # after which a followed process is exchanged for another one
UNCONFIRMED_TIME = 2 * SILENT_TIME  # without a majority's word, after which others are followed besides
HINT_TIME = 10_000 * MILLISECOND  # for which an address is remembered that is in no list taken
MOST_KNOWN = 64
NEVER = -1  # version of no list


class ControlLinks:
    """Follows several control processes at once, so that the loss of some is not noticed.

    `make(address)` gives a follower. Known are the list of members that was taken last, the seeds, and
    hints. A list is told with its version, the committed index as of which it holds: one that is older than
    the list taken is not taken, its addresses are hints. Hints come last, and only when others are missing.

    A followed process without a majority's word stays followed, as it may be the only pointer to others,
    but others are followed besides until enough have the word."""

    def __init__(
        self,
        loop,
        losses: int,
        make: Callable[[Address], Follower],
        left: Callable[[Follower], None] = lambda follower: None,
    ):
        self.loop, self.make, self.on_left = loop, make, left
        self.wanted = max(LEAST_FOLLOWED, losses + 1)
        self.seeds: list[Address] = []
        self.told: dict[Address, None] = {}
        self.told_as_of = NEVER
        self.hints: dict[Address, int] = {}  # -> ns of the last time it was told
        self.followers: dict[Address, Follower] = {}
        self.began: dict[Address, int] = {}
        self.left: dict[Address, int] = {}  # given up lately -> ns

    def renew_seeds(self, seeds: Iterable[Address]) -> None:
        """Seeds from the settings; they come after those that followed processes tell of."""
        self.seeds = list(seeds)
        self.choose()

    def tell(self, members: Iterable[str], as_of: int, others: Iterable[str] = ()) -> None:
        """The list of members that a followed process tells, and further addresses, as HOST:PORT."""
        told = _addresses(members)
        is_newer = bool(told) and as_of >= self.told_as_of
        is_changed = is_newer and told != self.told
        if is_newer:
            self.told, self.told_as_of = told, as_of
        else:
            self._hint(told)
        self._hint(_addresses(others))
        if is_changed:
            self.choose()

    def _hint(self, addresses: Iterable[Address]) -> None:
        now = self.loop.now()
        for address in addresses:
            if address not in self.told:
                self.hints.pop(address, None)
                self.hints[address] = now
        while len(self.hints) > MOST_KNOWN:
            del self.hints[next(iter(self.hints))]

    def choose(self) -> None:
        """Follows as many as are wanted of those known, those heard lately first."""
        now = self.loop.now()
        self.hints = {address: told for address, told in self.hints.items() if now - told <= HINT_TIME}
        known = list(dict.fromkeys([*self.told, *self.seeds, *self.hints]))
        for address in [a for a in self.followers if self._silent(a, now) and len(known) > self.wanted]:
            self._leave(address, now)
        for address in [a for a in self.followers if a not in known]:
            self._leave(address, now)
        self._leave_surplus(now)
        self._follow_more(known, now)

    def _leave_surplus(self, now: int) -> None:
        """Once enough have a majority's word, nobody is followed besides."""
        confirmed = [address for address in self.followers if self._has_word(address, now)]
        if len(confirmed) >= self.wanted:
            for address in self.followers.keys() - confirmed[: self.wanted]:
                self._leave(address, now)

    def _follow_more(self, known: list[Address], now: int) -> None:
        candidates = [address for address in known if address not in self.followers]
        candidates.sort(key=self._rank)
        for address in candidates[: self._places(now)]:
            self.followers[address] = self.make(address)
            self.began[address] = now

    def _rank(self, address: Address) -> tuple[bool, int]:
        is_hint = address not in self.told and address not in self.seeds
        return is_hint, self.left.get(address, 0)

    def _places(self, now: int) -> int:
        """How many more to follow now: all that are wanted, or one more beside those without the word."""
        if len(self.followers) < self.wanted:
            return self.wanted - len(self.followers)
        lacking = sum(self._lacks_word(address, now) for address in self.followers)
        is_short = len(self.followers) - lacking < self.wanted
        return int(is_short and len(self.followers) < 2 * self.wanted)

    def _has_word(self, address: Address, now: int) -> bool:
        follower = self.followers[address]
        return follower.confirmed_at is not None and now - follower.confirmed_at <= UNCONFIRMED_TIME

    def _lacks_word(self, address: Address, now: int) -> bool:
        """Whether it answers, but no majority's word is behind it, or none has been for long."""
        return bool(self.followers[address].last_reply_at) and not self._has_word(address, now)

    def _silent(self, address: Address, now: int) -> bool:
        heard = self.followers[address].last_reply_at or self.began[address]
        return now - max(heard, self.began[address]) > SILENT_TIME

    def _leave(self, address: Address, now: int) -> None:
        follower = self.followers.pop(address)
        follower.stop()
        self.began.pop(address)
        self.left[address] = now
        self.on_left(follower)
        while len(self.left) > MOST_KNOWN:
            del self.left[next(iter(self.left))]

    def close(self) -> None:
        for follower in self.followers.values():
            follower.stop()


def _addresses(told: Iterable[str]) -> dict[Address, None]:
    """The addresses that can be read, in order, as many as are kept."""
    addresses: dict[Address, None] = {}
    for text in told:
        host, _, port = text.rpartition(":")
        if port.isdigit():
            addresses[(host, int(port))] = None
    return dict(list(addresses.items())[:MOST_KNOWN])
