"""What the decision module keeps and nothing is decided by alone: rings, bounded counts, sums, pauses."""

from array import array
from bisect import bisect_left
from hashlib import blake2b
from heapq import heappop, heappush, heapreplace
from itertools import islice
from struct import unpack

from .model import MS, SECOND, Mean, Sum, Tokens

LONGEST = 900  # half-lives after which counting starts anew: new counts double each time, and floats end


def digests(number):
    """Eight places on a ring that a number stands for, evenly spread."""
    return unpack("<8Q", blake2b(number.to_bytes(8, "little")).digest())


def places(salt, number):
    """The first `number` places of an owner: fewer are always the first of more."""
    return [place for i in range(0, number, 8) for place in digests(salt ^ i)[: number - i]]


SIZE_LEAST, SIZE_MOST = 1e-3, 1e4  # a listed size beyond them is a slip and counts as the common one


class Sizes:
    """Hosts' sizes from what lists say. Live weights tell a size only when a host is idle, and of a kind one
    always is: the largest ever listed is the kind's size."""

    def __init__(self, sized, live):
        self.sized, self.live = sized, live
        self.largest = {}  # the largest size listed of each kind of host

    def grown(self, entries):
        """True when one is larger than was known of its kind."""
        old = dict(self.largest)
        for kind, size in ((e.kind, e.size) for e in entries if self.live):
            if max(SIZE_LEAST, self.largest.get(kind, 0.0)) < size <= SIZE_MOST:
                self.largest[kind] = size
        return self.largest != old

    def of(self, entry):
        if self.live:
            return self.largest.get(entry.kind, 1.0)
        return entry.size if self.sized and SIZE_LEAST <= entry.size <= SIZE_MOST else 1.0


ASK_PAUSE = 20 * MS  # a balancer, before the list is asked for again; doubled each time, half of it random
AGENT_PAUSE = 50 * MS  # where lists are pushed: what the agent has counts as told, heard or not
SILENT_PAUSE = 2 * SECOND  # what a silent watch missed binds 6 s after its last line: 3 s find it, 1 answers


class Asking:
    """How long it is until the list is asked for again; chooses no host, no leg and no refusal."""

    def __init__(self, balancers, subscribes, within):
        self.first, self.subscribes, self.most = ASK_PAUSE * balancers, subscribes, within // 2
        self.failures = 0  # in a row

    def heard(self):
        self.failures = 0

    def failed(self, silent, chance):
        """The pause in ns, with a `chance` from 0 to 1, after a call that failed or a watch that ended. It
        grows, but stays within what counts as told; partly random, so that balancers part."""
        if not self.subscribes:
            return int(AGENT_PAUSE * (0.5 + chance / 2))
        if silent:
            # All watches may fall silent at once: they come again spread over all the time that there is.
            return int(min(2 * self.first, SILENT_PAUSE) * chance)
        self.failures += 1
        return int(min(self.first * 2 ** (self.failures - 1), self.most) * (0.5 + chance / 2))


class Promises:
    """How often each promised time has been asked for of late; decides nothing."""

    def __init__(self, half, now):
        self.half, self.all, self.each = half, Sum(half, now), {}  # by promised time, ns

    def add(self, now, promised):
        self.all.add(now)
        if promised not in self.each:
            self.each[promised] = Sum(self.half, now)
        self.each[promised].add(now)

    def shortest(self, now, least):
        """The shortest that has `least` of all, in ns; the longest of all when none has."""
        bound = least * self.all.read(now)
        return min((p for p, many in self.each.items() if many.read(now) >= bound), default=max(self.each))


class Sites:
    """What the ready caches are in all and by site, kept as they come and go; decides nothing."""

    def __init__(self):
        self.size, self.able, self.ready = 0.0, {}, [0, 0]  # all sizes, sizes by site, caches near and far

    def put(self, host, sign=1):
        self.size += sign * host.size
        self.able[host.site] = self.able.get(host.site, 0.0) + sign * host.size
        self.ready[host.far] += sign

    def take(self, host):
        self.put(host, -1)


class Shares:
    """A bucket of tokens for each customer, filled at this balancer's part of the customer's rate."""

    def __init__(self, rates, burst, part, now):
        self.rates, self.burst = rates, burst  # all balancers together, a second; seconds saved up
        self.tokens = [Tokens(rate * part, 1 + burst * rate * part, 1 + rate * part, now) for rate in rates]

    def deal(self, now, part):
        """Another part from now on; what has been saved up beyond it is lost."""
        for tokens, rate in zip(self.tokens, self.rates, strict=True):
            tokens.read(now)
            tokens.rate, tokens.most = rate * part, 1 + self.burst * rate * part
            tokens.level = min(tokens.level, tokens.most)


class Latest:
    """Owners by when each was last put in; neither that nor a look at the last few walks through them all."""

    def __init__(self):
        self.order = {}  # as keys, the latest last

    def put(self, owner):
        self.drop(owner)
        self.order[owner] = None

    def drop(self, owner):
        self.order.pop(owner, None)

    def last(self, most):
        """The last `most` of them, the latest first."""
        return islice(reversed(self.order), most)


PACE_PRIOR = 5  # amounts at the mean of all groups that a group is taken to have shown before its own


class Paces:
    """How fast groups of hosts answer, from the times that they took; older ones count half after `half`."""

    def __init__(self, half):
        self.half, self.means, self.speeds = half, {}, {}

    def add(self, now, group, took):
        if group not in self.means:
            self.means[group] = Mean(self.half, now)
        self.means[group].add(now, took)
        total = sum(mean.total.read(now) for mean in self.means.values())
        usual = total / sum(mean.count.read(now) for mean in self.means.values())
        known = {group: mean.read(now, usual, PACE_PRIOR) for group, mean in self.means.items()}
        best = min(known.values())
        self.speeds = {group: best / pace for group, pace in known.items()}

    def speed(self, group):
        """Against the fastest group, whose speed is 1; 1 also for what is not known yet."""
        return self.speeds.get(group, 1.0)


class Ring:
    """Owners by place. Putting one in or taking it out touches only its own places."""

    def __init__(self):
        self.places, self.owners = array("Q"), []

    def join(self, hosts, unit):
        """Puts all places of these hosts in."""
        for place, _, host in sorted((place, h.name, h) for h in hosts for place in h.places(unit)):
            self.put(place, host)

    def leave(self, host, unit):
        """Takes all places of a host out that joined with the same unit."""
        for place in host.places(unit):
            self.take(place)

    def put(self, place, owner):
        at = bisect_left(self.places, place)
        self.places.insert(at, place)
        self.owners.insert(at, owner)

    def take(self, place):
        at = bisect_left(self.places, place)
        del self.places[at], self.owners[at]

    def walk(self, place, most):
        """The first `most` distinct owners from the place on."""
        owners, seen, at = self.owners, set(), bisect_left(self.places, place)
        for i in range(len(owners)):
            owner = owners[(at + i) % len(owners)]
            if owner not in seen:
                seen.add(owner)
                yield owner
                if len(seen) == most:
                    return  # here: to look for one more may take a walk round the whole ring


class Counts:
    """Counts of keys, halved every `half` nanoseconds; a full table drops its smallest."""

    def __init__(self, half, now):
        self.half = half
        self._begin(now)

    def _begin(self, now):
        # New counts weigh more instead of old ones less, so that time changes no entry and no order.
        self.since, self.counts, self.smallest, self.all = now, {}, [], 0.0

    def add(self, now, key, most):
        """Counts the key in a table of `most`; its count, and that of all keys."""
        if now - self.since > LONGEST * self.half:
            self._begin(now)
        weight = 2.0 ** ((now - self.since) / self.half)
        self.all += weight
        counts, smallest = self.counts, self.smallest
        if key not in counts:
            while counts and len(counts) >= most:
                # The heap holds each key with a count that it had: what grew since goes back with its own.
                was, least = smallest[0]
                if counts[least] > was:
                    heapreplace(smallest, (counts[least], least))
                else:
                    del counts[heappop(smallest)[1]]
            heappush(smallest, (weight, key))
        counts[key] = counts.get(key, 0.0) + weight
        return counts[key] / weight, self.all / weight

    def share(self, key):
        """The key's part of all that was counted."""
        return self.counts.get(key, 0.0) / self.all if self.all else 0.0
