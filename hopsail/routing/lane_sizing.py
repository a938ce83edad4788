"""How many hosts of a service should serve short prompts: by the queueing of each kind. No I/O and no clock.

A host reads prompts one after the other and has a number of places in which answers are generated. Either can
be short, so a prompt's chance to wait for longer than its aim allows is taken from two queues, and the worse
one counts: the reading queue (M/G/c, by Allen and Cunneen's approximation; `candidates` hosts share one queue
where prompts go to the least loaded of so many) and the queue for places (M/M/c, Erlang's C formula). See
L. Kleinrock, "Queueing Systems" volume 1 (1975), section 3.5, and A. Allen, "Probability, Statistics, and
Queueing Theory" (1990), section 5.3. Short prompts get as many hosts as they need to be in time also while a
roll-out has half of them, within a bound that leaves long ones what they read; how late these are is not
known well enough to be weighed, as what hosts keep of them is told late."""

from dataclasses import dataclass
from math import exp, sqrt

from .lanes import LEAST_HOSTS

LATE_WELL = 0.005  # of short prompts, by the model: with so few late they have hosts enough
LATE_GROW = 0.02  # of short prompts: with more late they get more hosts
SHRINK = 0.75  # of their hosts: where fewer do, the others go back
MOST_SHARE = 1 / 3  # of the hosts, as long as long prompts have two thirds of what is read
ROLLOUT_DIVISOR = 2  # one host of so many may be out of service for new weights at once
MOST_SIZES = 64  # compared; of more hosts, only so many sizes, evenly spread
UNDIVIDED = 0  # the size that stands for no division


@dataclass(frozen=True, slots=True)
class LaneLoad:
    """What one kind of prompt asks of the hosts of a service together."""

    per_ms: float  # requests
    reading_ms: float  # mean time that a host reads one
    reading_square: float  # mean of its square
    holding_ms: float  # mean time that one has a place
    aim_ms: float  # mean time within which its answer should begin
    candidates: int = 1  # hosts of which the least loaded is taken

    @property
    def spread_ms(self) -> float:
        """Standard deviation of the reading time."""
        return sqrt(max(0.0, self.reading_square - self.reading_ms**2))


@dataclass(frozen=True, slots=True)
class HostPool:
    """The hosts of a service."""

    hosts: int
    places: int  # of one host


def erlang_c(servers: int, offered: float) -> float:
    """The chance that an arrival waits at so many servers offered so much work (erlangs), 1 if overloaded."""
    if offered >= servers:
        return 1.0
    blocked = 1.0
    for server in range(1, servers + 1):
        blocked = offered * blocked / (server + offered * blocked)
    return blocked / (1 - offered / servers * (1 - blocked))


def serial_service_ms(per_ms: float, waiting_ms: float) -> float:
    """The service time of a single server at which so many arrivals wait for so long on average (M/M/1).

    Of whatever the waiting comes from, it is what one more or one less arrival tells on."""
    if per_ms <= 0 or waiting_ms <= 0:
        return 0.0
    return (sqrt(waiting_ms**2 + 4 * waiting_ms / per_ms) - waiting_ms) / 2


def _late_reading(load: LaneLoad, all_loads: tuple[LaneLoad, ...], hosts: int) -> float:
    """The share of a kind that waits too long for its reading where these loads share so many hosts."""
    per_ms = sum(one.per_ms for one in all_loads)
    if per_ms <= 0:
        return 0.0
    mean = sum(one.per_ms * one.reading_ms for one in all_loads) / per_ms
    square = sum(one.per_ms * one.reading_square for one in all_loads) / per_ms
    used = per_ms * mean / hosts
    if used >= 1:
        return used
    servers = max(1, min(load.candidates, hosts))
    waits = erlang_c(servers, used * servers)
    if waits <= 0 or mean <= 0:
        return 0.0
    wait_ms = square / (2 * mean) / (servers * (1 - used))
    # Prompts of one kind differ in size: three points with the mean and spread of their reading times.
    spread = sqrt(3) * load.spread_ms
    points = ((2 / 3, load.reading_ms), (1 / 6, load.reading_ms + spread), (1 / 6, load.reading_ms - spread))
    late = (share * exp(-max(0.0, load.aim_ms - max(0.0, own)) / wait_ms) for share, own in points)
    return waits * sum(late)


def _late_for_places(load: LaneLoad, all_loads: tuple[LaneLoad, ...], hosts: int, places: int) -> float:
    """The share of a kind that waits too long for a place."""
    offered = sum(one.per_ms * one.holding_ms for one in all_loads) / hosts
    if places <= 0:
        return 0.0
    if offered >= places:
        return offered / places
    per_ms = sum(one.per_ms for one in all_loads)
    holding = offered * hosts / per_ms if per_ms > 0 else 0.0
    if holding <= 0:
        return 0.0
    wait_ms = holding / (places - offered)
    return erlang_c(places, offered) * exp(-max(0.0, load.aim_ms - load.reading_ms) / wait_ms)


def late_share(load: LaneLoad, all_loads: tuple[LaneLoad, ...], hosts: int, places: int) -> float:
    """The share of a kind that waits too long where these loads share hosts; over 1 in overload."""
    if load.per_ms <= 0:
        return 0.0
    return max(_late_reading(load, all_loads, hosts), _late_for_places(load, all_loads, hosts, places))


def late_short_share(short: LaneLoad, long: LaneLoad, pool: HostPool, size: int) -> float:
    """The share of short prompts that wait too long with so many hosts.

    The mean of two states: with all hosts, and while a roll-out has half of them, or the only one: then short
    prompts go to all that are left."""
    kinds, hosts = ((short,), size) if size != UNDIVIDED else ((short, long), pool.hosts)
    intact = min(1.0, late_share(short, kinds, hosts, pool.places))
    left = hosts - max(1, hosts // ROLLOUT_DIVISOR)
    if not left:
        kinds, left = (short, long), pool.hosts - 1
    reduced = min(1.0, late_share(short, kinds, left, pool.places))
    return (intact + max(intact, reduced)) / 2


def most_hosts(short: LaneLoad, long: LaneLoad, pool: HostPool) -> int:
    """How many hosts short prompts may have: a third, or their share of all that is read if that is more."""
    read = short.per_ms * short.reading_ms
    all_read = read + long.per_ms * long.reading_ms
    share = read / all_read if all_read > 0 else 0.0
    return max(1, min(pool.hosts - 1, int(pool.hosts * max(MOST_SHARE, share))))


def needed_size(short: LaneLoad, long: LaneLoad, pool: HostPool, current: int) -> int:
    """How many hosts short prompts need to be in time, `UNDIVIDED` where they are so among long ones.

    The current number unless more than `LATE_GROW` of them wait too long, or fewer than `SHRINK` of it do."""
    if pool.hosts < LEAST_HOSTS:
        return UNDIVIDED
    enough = LATE_GROW if current == UNDIVIDED else LATE_WELL
    if late_short_share(short, long, pool, UNDIVIDED) <= enough:
        return UNDIVIDED
    most = most_hosts(short, long, pool)
    step = max(1, most // MOST_SIZES)
    sizes = range(1, most + 1, step)
    needed = next((size for size in sizes if late_short_share(short, long, pool, size) <= LATE_WELL), most)
    if current == UNDIVIDED or not SHRINK * current <= needed:
        return needed
    if late_short_share(short, long, pool, current) > LATE_GROW:
        return max(current, needed)
    return current
