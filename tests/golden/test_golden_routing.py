"""Seeded histories of the routing cores lead to the same decisions as in earlier versions."""

from random import Random

import pytest
from golden_digest import HistoryDigest, position, stored_digest

from hopsail.model import MS, SECOND
from hopsail.routing.admission import Admission, Verdict
from hopsail.routing.choice import ChoiceParameters, HostChooser, HostState
from hopsail.routing.durations import RecentDurations
from hopsail.routing.host_work import Backlog, HostWork, ReadingRate
from hopsail.routing.lane_demand import LaneMeter, LaneSums
from hopsail.routing.lane_division import Division, DivisionRegistrar
from hopsail.routing.lane_sizing import HostPool, LaneLoad, late_short_share, needed_size
from hopsail.routing.lanes import Lane, divide, lane_of, neighbours, short_hosts
from hopsail.routing.outcomes import Failure, HostHealth
from hopsail.routing.recent_readers import RecentReaders, part_key
from hopsail.routing.retries import RetryBudget

PATH = "routing/histories.json"
SEEDS = (1, 2, 3)


class Item:
    """What waits for admission: compared by identity."""

    def __init__(self, number):
        self.number = number


def admission_history(seed):
    random, digest, now = Random(seed), HistoryDigest(), 0
    admission = Admission(4, 6, now)
    active, waiting = 0, []
    for number in range(4000):
        now += random.randrange(0, 40 * MS)
        event = random.random()
        if event < 0.5:
            item = Item(number)
            priority = (random.randrange(3), random.randrange(2))
            verdict = admission.offer(now, priority, now + random.randrange(-10 * MS, 300 * MS), item)
            active += verdict is Verdict.ADMIT
            if verdict is Verdict.QUEUE:
                waiting.append(item)
            digest.add(position(verdict))
        elif event < 0.8 and active:
            given = admission.release(now)
            active -= given is None
            digest.add(given and given.number)
        elif event < 0.85:
            admitted = admission.resize(now, random.randrange(1, 9))
            active += len(admitted)
            digest.add([item.number for item in admitted])
        elif event < 0.9 and waiting:
            digest.add(admission.withdraw(random.choice(waiting)))
        else:
            digest.add([item.number for item in admission.expire(now)])
        next_expiry, retry = admission.next_expiry(now), admission.retry_after_ms(now)
        digest.add(admission.active, admission.waiting, next_expiry, retry)
    return digest.hexdigest()


def retry_history(seed):
    random, digest, now = Random(seed), HistoryDigest(), 17 * SECOND
    budget = RetryBudget(0.1, 4.0, 2 * SECOND)
    for _ in range(6000):
        now += random.randrange(0, 8 * MS)
        service = random.choice(("chat", "chat", "chat", "code", "search"))
        if random.random() < 0.75:
            budget.request(now, service)
        else:
            allowed = budget.may_retry(now, service, random.choice((None, 1, 3)))
            digest.add(allowed)
            if allowed or random.random() < 0.02:
                budget.spend(now, service)
        if random.random() < 0.001:
            now += 3 * SECOND
    return digest.hexdigest()


def choice_history(seed):
    random, digest, now = Random(seed), HistoryDigest(), 0
    known = ChoiceParameters(compare_work=seed % 2 == 1, spill_factor=1.5)
    chooser = HostChooser(Random(seed + 100), known)
    names = [f"i-{number:04x}" for number in range(12)]
    hosts = {name: HostState(name, capacity=random.choice((0, 4, 8))) for name in names}
    chooser.update(names)
    for _ in range(4000):
        now += random.randrange(0, 3 * MS)
        if random.random() < 0.01:
            chooser.update(random.sample(names, random.randrange(0, 13)))
        host = hosts[random.choice(names)]
        host.in_flight = random.randrange(0, 9)
        host.in_flight_work = random.choice((0.0, random.random() * 500))
        eligible = {name: hosts[name] for name in names if random.random() < 0.9}
        key = random.choice(("", "", "hot", "hot", f"key-{random.randrange(300)}"))
        weight = random.choice((0.0, 1.0, 1.0))
        exclude = frozenset(random.sample(names, random.randrange(0, 3)))
        share = random.choice((0.25, 1.0, 4.0))
        choice = chooser.choose(now, key, eligible, exclude, weight, share)
        if choice is None:
            digest.add(None)
        else:
            digest.add(choice.host, choice.home, choice.hot, choice.spilled, position(choice.reason))
        if random.random() < 0.2:
            digest.add(chooser.nearest(now, key, eligible, random.randrange(1, 5), weight))
    return digest.hexdigest()


def outcome_history(seed):
    random, digest, now = Random(seed), HistoryDigest(), 0
    health = HostHealth(most_hosts=6)
    names = [f"i-{number}" for number in range(8)]
    for _ in range(5000):
        now += random.randrange(0, random.choice((20, 200)) * MS)
        host, event = random.choice(names), random.random()
        if event < 0.35:
            sent = random.choice((None, now - random.randrange(0, SECOND)))
            health.failed(now, host, random.choice(list(Failure)), sent)
        elif event < 0.5:
            health.succeeded(now, host)
        elif event < 0.8 and health.may_send(now, host):
            health.sent(now, host)
        elif event > 0.99:
            health.forget(host)
        digest.add([health.penalty_until(now, name) for name in names])
        digest.add(sorted(health.eligible(now, names)))
    return digest.hexdigest()


def sizing_history(seed):
    random, digest = Random(seed), HistoryDigest()

    def load(candidates):
        reading = random.random() * 400
        return LaneLoad(
            random.random() ** 3 * 0.3,
            reading,
            reading**2 * (1 + random.random()),
            reading + random.random() * 3000,
            random.random() * 2000,
            candidates,
        )

    for _ in range(400):
        short, long = load(1), load(random.randrange(1, 5))
        pool = HostPool(random.choice((1, 2, 3, 5, 12, 40, 300)), random.choice((0, 4, 16)))
        size = random.randrange(0, max(1, pool.hosts))
        digest.add(needed_size(short, long, pool, size))
        if pool.hosts > 1:
            digest.add(late_short_share(short, long, pool, size))
    return digest.hexdigest()


def division_history(seed):
    random, digest, now = Random(seed), HistoryDigest(), 0
    registrar, held = DivisionRegistrar(), Division()
    pool = HostPool(20, 8)
    meters = {lane: LaneMeter() for lane in Lane}
    for step in range(1200):
        now += 100 * MS
        for lane, meter in meters.items():
            is_short = lane is Lane.SHORT
            for _ in range(random.randrange(0, (60 if step > 500 else 8) if is_short else 4)):
                tokens = random.randrange(20, 2000) if is_short else random.randrange(2048, 60_000)
                meter.began(float(tokens), 1000.0 if is_short else 8000.0)
                first = tokens / 30 + random.random() * 300
                rate = None if random.random() < 0.05 else 30.0
                meter.answered(float(tokens), first, first + 3000 * random.random(), rate)
            sums = meter.take()
            digest.add(sums_of(sums), sums.is_sound())
            registrar.told(now, lane, sums)
        registrar.told_rate(random.choice((0.0, 25.0, 31.0)))
        decided = registrar.decide(now, held, pool, 3)
        if decided is not None:
            digest.add(step, decided.number, decided.short_share, decided.is_newer_than(held))
            held = decided
    return digest.hexdigest()


def sums_of(sums):
    assert isinstance(sums, LaneSums)
    head = [sums.requests, sums.tokens, sums.tokens_squared, sums.aim_ms]
    return [*head, sums.answered, sums.holding_ms, sums.waiting_ms, sums.least_ms]


def lane_history(seed):
    random, digest = Random(seed), HistoryDigest()
    for _ in range(60):
        hosts = [f"i-{random.randrange(16**6):06x}" for _ in range(random.randrange(0, 40))]
        share = random.choice((0.0, 0.22, random.random()))
        lanes = divide(hosts, share)
        digest.add([[position(lane), sorted(lanes[lane])] for lane in Lane])
        digest.add(sorted(neighbours(hosts).items()), short_hosts(len(hosts), share))
        digest.add(position(lane_of(random.randrange(0, 5000))))
        one, other = (Division(random.randrange(0, 2**31), random.random()) for _ in range(2))
        digest.add(one.is_newer_than(other), other.is_newer_than(one), one.is_sound())
        digest.add(one.following(0.5).number)
    return digest.hexdigest()


def work_history(seed):
    random, digest, now = Random(seed), HistoryDigest(), 0
    work, rate = HostWork(most_hosts=5, most_entries=8), ReadingRate()
    readers = RecentReaders(most_parts=10, most_hosts=2)
    for number in range(4000):
        now += random.randrange(0, 50 * MS)
        host = f"i-{random.randrange(7)}"
        key = (f"127.0.0.{random.randrange(1, 4)}:99", number - random.randrange(0, 30))
        if random.random() < 0.5:
            work.begin(now, host, key, float(random.randrange(100, 9000)), random.randrange(0, 2 * SECOND))
        else:
            work.end(now, host, key, random.random() < 0.8)
        backlog = work.backlog(now, host)
        rate.note(now, backlog)
        digest.add(len(work), backlog.waiting, backlog.read, backlog.read_ms, rate.typical, rate.of(backlog))
        digest.add(rate.shows_speed(random.random() * 9000, random.random() * 300))
        part = part_key("salt", str(random.randrange(16)))
        readers.note(now, part, host)
        digest.add(part, readers.of(now, part), readers.of(now, part_key("", str(number % 16))), len(readers))
    digest.add(rate.of(Backlog()))
    return digest.hexdigest()


def duration_history(seed):
    random, digest, now = Random(seed), HistoryDigest(), 0
    durations = RecentDurations(now)
    for _ in range(4000):
        now += random.randrange(0, 20 * MS) if random.random() < 0.999 else random.randrange(40 * SECOND)
        kind, size = random.choice(("read", "make")), random.randrange(0, 2 ** random.randrange(1, 16))
        durations.add(now, kind, size, random.randrange(0, 3 * SECOND))
        digest.add(durations.longest(now, random.choice(("read", "make", "none")), random.randrange(50_000)))
    return digest.hexdigest()


HISTORIES = {
    "admission": admission_history,
    "retry budget": retry_history,
    "choice of a host": choice_history,
    "outcomes": outcome_history,
    "lane sizing": sizing_history,
    "lane division": division_history,
    "lanes": lane_history,
    "work of hosts": work_history,
    "durations": duration_history,
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", HISTORIES)
def test_a_seeded_history_of_routing_is_the_stored_one(name, seed):
    assert HISTORIES[name](seed) == stored_digest(PATH, f"{name}, seed {seed}")
