"""The settings of membership: checked, with the time bounds that follow from them. No I/O."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import ceil, log2, log10
from typing import NamedTuple

from .errors import InvalidSettingsError

Address = tuple[str, int]

# Not those of `hopsail.model`, whose import would take longer than that of all the rest here.
MS = 1_000_000
SECOND = 1_000_000_000

MIN_DATAGRAM_BYTES = 256  # holds a message with two names and one update
MAX_DATAGRAM_BYTES = 1400  # below the MTU of every path
DEFAULT_DATAGRAM_BYTES = 512
MAX_NAME_BYTES = 32
MAX_MEMBERS = 4096  # of a view; further names are rejected
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
MAX_KEYS, MAX_SEEDS, MAX_LEASE_SERVERS = 4, 16, 9

INDIRECT_PROBES = 3  # members that probe in place of one whose own probe failed
SUSPICION_CONFIRMATIONS = 3  # independent suspicions after which the timeout is the shortest
MIN_SUSPICION_PERIODS = 4  # times log10 of the members
SUSPICION_MAX_FACTOR = 3  # of the shortest timeout, for a suspicion that nobody confirms
MAX_LOCAL_HEALTH = 3  # how far a member that has noticed its own lateness slows down
RETRANSMIT_FACTOR = 3  # times log2 of the members that each update is sent
DETECTION_PERIODS = 8  # within which some member probes another, except once in 3,000
RECONNECT_PERIODS = 2  # between attempts to reach members that are dead
RESERVED_SHARE = 0.5  # of an equal share, a balancer's own with or without a lease
MAX_CLOCK_DRIFT = 0.02  # between two clocks, of the time that they measure


@dataclass(frozen=True, slots=True, kw_only=True)
class SwimSettings:
    """Times in ns, sizes in bytes."""

    name: str
    fleet: str
    listen_address: Address
    advertised_address: Address  # where others reach this member
    keys: tuple[bytes, ...]  # the first signs, all are accepted
    seeds: tuple[Address, ...] = ()
    lease_servers: tuple[str, ...] = ()  # names of the members that lease out quota shares
    period_ns: int = SECOND
    max_datagram_bytes: int = DEFAULT_DATAGRAM_BYTES
    lease_ns: int = 6 * SECOND
    forget_dead_ns: int = 600 * SECOND
    folder: str | None = None  # of the incarnation file

    @property
    def ack_timeout_ns(self) -> int:
        """Wait for an acknowledgement before indirect probes are sent."""
        return self.period_ns * 3 // 10


class TimeBounds(NamedTuple):
    """Within which time, in ns, something has happened at all members."""

    detection_ns: int  # a crash is noticed
    convergence_ns: int  # views are equal after the last fault
    lease_reissue_ns: int  # the quota share of a dead member is leased to others


def dissemination_time_ns(settings: SwimSettings, members: int) -> int:
    """Within which an update reaches all of so many members."""
    return settings.period_ns * RETRANSMIT_FACTOR * ceil(log2(members + 1))


def suspicion_timeout_ns(settings: SwimSettings, members: int, confirmations: int = 1) -> int:
    """How long a suspected member may refute, when so many members suspect it."""
    shortest = MIN_SUSPICION_PERIODS * max(1.0, log10(max(1, members)))
    share = min(1.0, log2(confirmations) / log2(SUSPICION_CONFIRMATIONS)) if confirmations > 1 else 0.0
    return int(settings.period_ns * shortest * (SUSPICION_MAX_FACTOR - (SUSPICION_MAX_FACTOR - 1) * share))


def time_bounds(settings: SwimSettings, members: int) -> TimeBounds:
    """The bounds for a fleet of so many members."""
    # A fault makes those next to it slow down, and they recover on the way.
    slowdown = 1 + MAX_LOCAL_HEALTH / 2
    detection = int(slowdown * settings.period_ns * (DETECTION_PERIODS + 1))
    detection += suspicion_timeout_ns(settings, members)
    # After a partition a dead member is pinged each RECONNECT_PERIODS, views are compared, each one refutes.
    periods = (RECONNECT_PERIODS + 2) * (3 + log2(members + 1))
    convergence = detection + 2 * dissemination_time_ns(settings, members)
    convergence += int(slowdown * settings.period_ns * periods)
    reissue = int(settings.lease_ns * (1 + MAX_CLOCK_DRIFT) * 4 / 3) + settings.period_ns
    return TimeBounds(detection, convergence, reissue)


class _ViewReader:
    """Reads the configuration's object `view` key by key. All methods raise InvalidSettingsError."""

    def __init__(self, tree: Mapping[str, object], parse_address: Callable[[str, int], Address]) -> None:
        self._tree = tree
        self._parse_address = parse_address

    def _check(self, key: str, value: object, valid: bool) -> None:
        if not valid or value is True:
            missing = key not in self._tree
            raise InvalidSettingsError(
                f"view.{key} is missing" if missing else f"view.{key} holds {value!r:.80}"
            )

    def text(self, key: str) -> str:
        value = self._tree.get(key)
        self._check(key, value, isinstance(value, str))
        return str(value)

    def optional_text(self, key: str, default: str | None) -> str | None:
        value = self._tree.get(key, default)
        self._check(key, value, value is None or isinstance(value, str))
        return None if value is None else str(value)

    def number(self, key: str, minimum: int, maximum: int, default: int) -> int:
        value = self._tree.get(key, default)
        if value is True or not isinstance(value, int):
            raise InvalidSettingsError(f"view.{key} holds {value!r:.80}")
        if not minimum <= value <= maximum:
            raise InvalidSettingsError(f"view.{key} holds {value}: {minimum} to {maximum} is needed")
        return value

    def texts(self, key: str, maximum: int) -> list[str]:
        value = self._tree.get(key, [])
        if value is None or not isinstance(value, list):
            raise InvalidSettingsError(f"view.{key} holds {value!r:.80}")
        if len(value) > maximum or not all(isinstance(one, str) for one in value):
            raise InvalidSettingsError(f"view.{key} holds {value!r:.80}: at most {maximum} texts are needed")
        return value

    def address(self, key: str) -> Address:
        return self._address(key, self.text(key))

    def addresses(self, key: str, maximum: int) -> tuple[Address, ...]:
        return tuple(self._address(key, text) for text in self.texts(key, maximum))

    def _address(self, key: str, text: str) -> Address:
        try:
            return self._parse_address(text, 1)
        except ValueError as error:
            raise InvalidSettingsError(f"view.{key}: {error}") from None

    def keys(self) -> tuple[bytes, ...]:
        found = tuple(self._key(text) for text in self.texts("keys", MAX_KEYS))
        if not found:
            raise InvalidSettingsError("view.keys is missing: strangers must not join")
        return found

    def _key(self, text: str) -> bytes:
        try:
            key = bytes.fromhex(text)
        except ValueError:
            raise InvalidSettingsError("view.keys: a key is no hexadecimal number") from None
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise InvalidSettingsError(
                f"view.keys: a key has {len(key)} bytes; {MIN_KEY_BYTES} to {MAX_KEY_BYTES} are needed"
            )
        return key

    def lease_servers(self) -> tuple[str, ...]:
        names = self.texts("stewards", MAX_LEASE_SERVERS)
        fitting = all(0 < len(name.encode()) <= MAX_NAME_BYTES for name in names)
        if len(set(names)) != len(names) or not fitting:
            raise InvalidSettingsError(
                "view.stewards: each needs another name, and one that a balancer can have"
            )
        return tuple(names)


def read_settings(
    tree: Mapping[str, object], name: str, folder: str | None, parse_address: Callable[[str, int], Address]
) -> SwimSettings:
    """The settings from the configuration's object `view`.

    `parse_address(text, minimum_port)` reads host:port and raises ValueError. `folder` is used where the
    object names none. Raises InvalidSettingsError.
    """
    if unknown := tree.keys() - KEYS:
        raise InvalidSettingsError(f"view.{min(unknown)} is unknown; there are {', '.join(sorted(KEYS))}")
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise InvalidSettingsError(
            f"name holds {name!r:.80}: with `view`, 1 to {MAX_NAME_BYTES} bytes are needed"
        )
    reader = _ViewReader(tree, parse_address)
    keys = reader.keys()
    seeds = reader.addresses("seeds", MAX_SEEDS)
    lease_servers = reader.lease_servers()
    fleet = reader.text("fleet")
    if not fleet:
        raise InvalidSettingsError("view.fleet is empty")
    listen_address = reader.address("listen")
    return SwimSettings(
        name=name,
        fleet=fleet,
        listen_address=listen_address,
        advertised_address=reader.address("advertise") if "advertise" in tree else listen_address,
        keys=keys,
        seeds=seeds,
        lease_servers=lease_servers,
        period_ns=reader.number("period_ms", 50, 60_000, 1000) * MS,
        max_datagram_bytes=reader.number(
            "datagram", MIN_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES, DEFAULT_DATAGRAM_BYTES
        ),
        lease_ns=reader.number("lease_ms", 500, 600_000, 6000) * MS,
        forget_dead_ns=reader.number("remember_s", 60, 86_400, 600) * SECOND,
        folder=reader.optional_text("folder", folder),
    )


KEYS = frozenset({
    "fleet", "listen", "advertise", "keys", "seeds", "stewards", "period_ms", "datagram", "lease_ms",
    "remember_s", "folder",
})  # fmt: skip
