"""Where a host is to take the shared parts of a prompt from that it lacks, and where it is to save them."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..hosts.instance import parse_address
from ..prompts.affinity import LEAST_LARGE
from ..prompts.moves import Link, link_mbps, move_ms, token_bytes
from ..prompts.prefix import Part
from ..prompts.reuse import WallReuse
from ..routing.choice import HostState
from .prompt import Prompt
from .view import FleetView

LEAST_FETCHED = LEAST_LARGE  # tokens of a part that is worth a move
SAVE_EXPECTED_NS = 2_500_000_000  # a part that was to be saved and is not told of by then is saved anew


class Source(NamedTuple):
    """Where parts can be taken from."""

    address: str
    tokens: int  # of the prompt that are known to be there and not at the host; 0 when nothing is known
    move_ms: float


class Sources:
    """Finds sources in the view of kept parts."""

    def __init__(self, view: FleetView, zone: str, regions: Mapping[str, str]):
        self.view, self.zone, self.regions = view, zone, regions
        self.reuse = WallReuse()

    def kept_tokens(self, now: int, host: str, salt: str, parts: Sequence[Part]) -> int:
        """Tokens of the beginning of a prompt that the host keeps whole, or should."""
        kept = 0
        for part in parts:
            if not self.view.kept.keeps(host, salt, part, now):
                break
            kept += part.tokens
        return kept

    def best(
        self, now: int, service: str, state: HostState, salt: str, prompt: Prompt, usable, rate: float | None
    ) -> Source | None:
        """A store that keeps what the host lacks, else another host; None where it reads that sooner itself.

        A store keeps parts for longer than hosts, whose word is seconds old when their memory is short. One
        is named also where nobody is known to keep the parts, or the host is told to keep all of them: hosts
        may have saved or dropped some unseen, and asking in vain costs a millisecond.

        `rate` is how many tokens the host reads in a ms, None while that is not known."""
        shared = large_parts(prompt)
        if not shared:
            return None
        missing = self._missing(now, state, salt, prompt)
        total = sum(part.tokens for part in shared)
        store = self._store()
        found = []
        if store is not None and not self._reads_sooner(service, state, total, _link(store), rate):
            found.append(self._from_store(now, service, state, salt, shared, missing, store))
        peer = self._peer(now, service, state, salt, shared, missing, usable, rate)
        if peer is not None:
            found.append(peer)
        if not found:
            return None
        return next((source for source in found if source.tokens), found[0])

    def save_to(
        self, now: int, service: str, state: HostState, salt: str, wall: str | None, prompt: Prompt, rate
    ) -> str | None:
        """The store that the host is to save shared parts to; None when they are there or not worth it."""
        shared = large_parts(prompt)
        store = self._store()
        if not shared:
            return None
        self.reuse.note(wall)
        if store is None or not self.reuse.worth_saving(wall):
            return None
        total = sum(part.tokens for part in shared)
        if self._reads_sooner(service, state, total, _link(store), rate):
            return None
        address = str(parse_address(store["StoreAddr"]))
        kept = self.view.kept
        if all(kept.keeps(address, salt, part, now) for part in shared):
            return None
        kept.expect(address, salt, shared, now, SAVE_EXPECTED_NS)
        return address

    def _reads_sooner(self, service: str, state, tokens: int, source: Link, rate: float | None) -> bool:
        """Whether the host reads so many tokens sooner than it takes them from the source."""
        return rate is not None and self._move_ms(service, state, tokens, source) * rate >= tokens

    def _missing(self, now: int, state: HostState, salt: str, prompt: Prompt) -> int:
        """Tokens of the shared parts that the host does not keep."""
        parts = prompt.parts[:-1]
        return sum(part.tokens for part in parts) - self.kept_tokens(now, state.identifier, salt, parts)

    def _from_store(self, now, service: str, state, salt: str, shared, missing: int, store) -> Source:
        address = str(parse_address(store["StoreAddr"]))
        stored = all(self.view.kept.keeps(address, salt, part, now) for part in shared)
        took = self._move_ms(service, state, missing, _link(store))
        return Source(address, missing if stored else 0, took)

    def _peer(self, now, service: str, state, salt: str, shared, missing: int, usable, rate) -> Source | None:
        """The nearest other host that keeps the first large part, or should."""
        first = shared[0]
        total = sum(part.tokens for part in shared)
        mbps = link_mbps(self.view.table.service(service)) if self.view.table is not None else None
        nearest = None
        for holder, tokens in self.view.kept.holders(salt, first.identifier, now).items():
            peer = usable.get(holder)
            if peer is None or peer is state or tokens < first.tokens:
                continue
            link = Link(peer.zone, mbps)
            took = self._move_ms(service, state, missing, link)
            if self._reads_sooner(service, state, total, link, rate):
                continue
            if nearest is None or took < nearest.move_ms:
                nearest = Source(f"{peer.address[0]}:{peer.address[1]}", missing, took)
        return nearest

    def _move_ms(self, service: str, state, tokens: int, source: Link) -> float:
        told = self.view.table.service(service) if self.view.table is not None else None
        target = Link(state.zone, link_mbps(told))
        return move_ms(tokens * token_bytes(told), source, target, self.regions)

    def _store(self) -> Mapping | None:
        """A store that is up."""
        table = self.view.table
        store = table.store_for(self.zone) if table is not None else None
        if store is None or not self.view.store_is_up(store["Name"]):
            return None
        return store


def _link(store: Mapping) -> Link:
    return Link(store.get("Zone", ""), link_mbps(store))


def large_parts(prompt: Prompt) -> list[Part]:
    """Shared parts that are worth a move."""
    return [part for part in prompt.parts[:-1] if part.tokens >= LEAST_FETCHED]
