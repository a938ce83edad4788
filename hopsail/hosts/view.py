"""All hosts known to this process, from its own listings and from updates of other processes.

A wrong tombstone is costly: it is replicated, and the host is unused until the tombstone expires. Hence
absence from a listing counts only as far as the listing can be trusted (see `HostView.apply_listing`).
"""

from collections.abc import Iterable

from hopsail.configuration.process import Address
from hopsail.hosts.instance import Instance, Phase, merge

TOMBSTONE_TTL_NS = 120_000_000_000
MAX_LIST_LAG_NS = 1_600_000_000
MAX_INSTANCES = 65_536
NS_PER_MS = 1_000_000
MIN_NEW_WARMUP_MS = 250  # with less left, a round is over before the news of it has arrived anywhere
MIN_EMPTY_LISTINGS = 3
MIN_MISSES_OF_ONE_PAGE = 1
MIN_MISSES_OF_SEVERAL_PAGES = 2


class _Entry:
    """An instance with what this process's own listings say about it."""

    __slots__ = ("first_listed", "instance", "known_since", "misses", "removed_at", "warm_at")

    def __init__(self, instance: Instance, now: int) -> None:
        self.instance = instance
        self.known_since = now
        self.first_listed: int | None = None
        self.misses = 0
        self.removed_at: int | None = None
        self.warm_at = now  # ns, when its warm-up ends as far as known
        self.note_warmup(now)

    def note_warmup(self, now: int) -> None:
        """Take in that a round of warming up has been told now."""
        self.warm_at = now + self.instance.warmup_left_ms * NS_PER_MS

    @property
    def is_removed(self) -> bool:
        return self.instance.phase is Phase.REMOVED


class HostView:
    """All known instances by identifier, merged monotonically.

    A removed instance is retained as a tombstone for `tombstone_ttl_ns`. The platform's list may lag by up to
    `list_lag_ns`: an instance known for a shorter time is not removed because a listing lacks it.
    """

    def __init__(
        self,
        tombstone_ttl_ns: int = TOMBSTONE_TTL_NS,
        list_lag_ns: int = MAX_LIST_LAG_NS,
        max_instances: int = MAX_INSTANCES,
        first_round: int = 0,
    ) -> None:
        """Create an empty view of at most `max_instances` instances, tombstones included.

        Rounds of warming up are numbered from `first_round`: above those that earlier processes have told.
        """
        self._tombstone_ttl_ns = tombstone_ttl_ns
        self._list_lag_ns = list_lag_ns
        self._max_instances = max_instances
        self._first_round = first_round
        self._entries: dict[str, _Entry] = {}
        self._services: dict[str, dict[str, _Entry]] = {}
        self._tombstones: dict[str, int] = {}
        self._listings = 0
        self._empty_listings = 0

    @property
    def instances(self) -> dict[str, Instance]:
        """All known instances by identifier, tombstones included (a copy)."""
        return {identifier: entry.instance for identifier, entry in self._entries.items()}

    def get(self, identifier: str) -> Instance | None:
        """Return an instance by identifier."""
        entry = self._entries.get(identifier)
        return entry.instance if entry else None

    def by_service(self, service: str) -> list[Instance]:
        """Return the instances of a service that are not removed."""
        entries = self._services.get(service, {}).values()
        return [entry.instance for entry in entries if not entry.is_removed]

    def apply_listing(self, now: int, instances: Iterable[Instance], pages: int) -> list[Instance]:
        """Apply a complete listing; return the instances that have changed.

        An instance missing from a listing of one page is removed; where there are several pages, which may
        shift while they are requested, it must be missing twice in a row, as must one that only other
        processes have listed. An empty listing counts only when it is the third in a row. Of two instances at
        one address, the one first listed earlier is removed.
        """
        listed = list(instances)
        if self._is_untrusted(listed):
            return []
        self._listings += 1
        changed: dict[str, Instance] = {}
        for instance in listed:
            self._apply_listed(now, instance, changed)
        self._remove_missing(now, {instance.identifier for instance in listed}, pages, changed)
        self._remove_replaced(now, changed)
        self._expire_tombstones(now)
        return list(changed.values())

    def apply_instance(self, now: int, instance: Instance) -> list[Instance]:
        """Apply the update of one instance by another process; return the instances that have changed."""
        changed: dict[str, Instance] = {}
        self._merge(now, instance, changed)
        self._expire_tombstones(now)
        return list(changed.values())

    def _is_untrusted(self, listed: list[Instance]) -> bool:
        if listed:
            self._empty_listings = 0
            return False
        self._empty_listings += 1
        return self._empty_listings < MIN_EMPTY_LISTINGS

    def _apply_listed(self, now: int, instance: Instance, changed: dict[str, Instance]) -> None:
        entry = self._merge(now, self._with_round(now, instance), changed)
        if entry is None:
            return
        entry.misses = 0
        if entry.first_listed is None:
            entry.first_listed = self._listings

    def _with_round(self, now: int, listed: Instance) -> Instance:
        """Return what was listed, with the round of warming up that it belongs to.

        A round is new when it ends later than the known one could, by a list that lags. While the known round
        lasts, a listing that tells of no warm-up is older than the round.
        """
        entry = self._entries.get(listed.identifier)
        if entry is None:
            is_warm = not listed.warmup_left_ms
            return listed if is_warm else listed.with_warmup(self._first_round, listed.warmup_left_ms)
        known, left_ms = entry.instance, listed.warmup_left_ms
        if left_ms >= MIN_NEW_WARMUP_MS and now + left_ms * NS_PER_MS > entry.warm_at + self._list_lag_ns:
            return listed.with_warmup(max(known.warmup_round, self._first_round) + 1, left_ms)
        if not left_ms and now < entry.warm_at and known.warmup_left_ms >= MIN_NEW_WARMUP_MS:
            left_ms = known.warmup_left_ms
        return listed.with_warmup(known.warmup_round, left_ms)

    def _merge(self, now: int, instance: Instance, changed: dict[str, Instance]) -> _Entry | None:
        entry = self._entries.get(instance.identifier)
        if entry is None:
            return self._add(now, instance, changed)
        merged = merge(entry.instance, instance)
        if _needs_update(entry.instance, merged):
            self._replace(now, entry, merged, changed)
        return entry

    def _add(self, now: int, instance: Instance, changed: dict[str, Instance]) -> _Entry | None:
        if len(self._entries) >= self._max_instances and not self._drop_oldest_tombstone():
            return None
        entry = _Entry(instance, now)
        self._entries[instance.identifier] = entry
        self._services.setdefault(instance.service, {})[instance.identifier] = entry
        changed[instance.identifier] = instance
        if entry.is_removed:
            self._add_tombstone(now, entry)
        return entry

    def _replace(self, now: int, entry: _Entry, merged: Instance, changed: dict[str, Instance]) -> None:
        if merged.service != entry.instance.service:
            self._unlink(entry)
            self._services.setdefault(merged.service, {})[merged.identifier] = entry
        is_new_round = merged.warmup_round != entry.instance.warmup_round
        entry.instance = merged
        if is_new_round:
            entry.note_warmup(now)
        changed[merged.identifier] = merged
        if entry.is_removed and entry.removed_at is None:
            self._add_tombstone(now, entry)

    def _add_tombstone(self, now: int, entry: _Entry) -> None:
        entry.removed_at = now
        self._tombstones[entry.instance.identifier] = now

    def _mark_removed(self, now: int, entry: _Entry, changed: dict[str, Instance]) -> None:
        self._replace(now, entry, entry.instance.with_phase(Phase.REMOVED), changed)

    def _remove_missing(self, now: int, listed: set[str], pages: int, changed: dict[str, Instance]) -> None:
        for identifier, entry in self._entries.items():
            if identifier in listed or entry.is_removed:
                continue
            entry.misses += 1
            if self._is_missing(now, entry, pages):
                self._mark_removed(now, entry, changed)

    def _is_missing(self, now: int, entry: _Entry, pages: int) -> bool:
        if now - entry.known_since < self._list_lag_ns:
            return False
        certain = pages <= 1 and entry.first_listed is not None
        return entry.misses >= (MIN_MISSES_OF_ONE_PAGE if certain else MIN_MISSES_OF_SEVERAL_PAGES)

    def _remove_replaced(self, now: int, changed: dict[str, Instance]) -> None:
        latest: dict[Address, _Entry] = {}
        for entry in self._entries.values():
            if entry.is_removed or entry.first_listed is None:
                continue
            other = latest.setdefault(entry.instance.address, entry)
            if other.first_listed == entry.first_listed:
                continue
            older, newer = sorted((other, entry), key=lambda one: one.first_listed or 0)
            latest[entry.instance.address] = newer
            self._mark_removed(now, older, changed)

    def _expire_tombstones(self, now: int) -> None:
        while self._tombstones:
            identifier, removed_at = next(iter(self._tombstones.items()))
            if now - removed_at < self._tombstone_ttl_ns:
                return
            self._drop(identifier)

    def _drop_oldest_tombstone(self) -> bool:
        if not self._tombstones:
            return False
        self._drop(next(iter(self._tombstones)))
        return True

    def _drop(self, identifier: str) -> None:
        del self._tombstones[identifier]
        self._unlink(self._entries.pop(identifier))

    def _unlink(self, entry: _Entry) -> None:
        service = self._services[entry.instance.service]
        del service[entry.instance.identifier]
        if not service:
            del self._services[entry.instance.service]


def _needs_update(old: Instance, merged: Instance) -> bool:
    """Whether to notify others: of a falling warm-up alone, only when it has halved."""
    if old is merged or old == merged:
        return False
    if merged.warmup_round != old.warmup_round:
        return True
    if merged.warmup_left_ms * 2 <= old.warmup_left_ms and merged.warmup_left_ms != old.warmup_left_ms:
        return True
    return (old.phase, old.models, old.address, old.service, old.zone, old.capacity, old.revision) != (
        merged.phase,
        merged.models,
        merged.address,
        merged.service,
        merged.zone,
        merged.capacity,
        merged.revision,
    )
