"""One ring for all balancers of an emulated fleet: equal hosts have equal places, whoever lists them.

A balancer's own ring (`tables.Ring`) is made from its list; made once a balancer, hundreds of them
are most of a run's time and memory. Here the places of every host that anyone has listed stand in
one shared order, and a balancer keeps only which of the owners are its members: a walk passes over
the others. So lists that differ for a while need no rings of their own, and lists that are equal
again share everything. Which owners a walk yields, and in which order, is the same as with a ring
of one's own (`tests/test_emulator_rings.py`)."""

from array import array
from bisect import bisect_left


class Shape:
    """The places of all owners seen with one unit, in order; an owner is a host's name and size."""

    def __init__(self):
        self.known, self.pairs, self.places = set(), [], array("Q")
        self.after = {}  # by position: distinct owners from there on, as far as a walk has gone

    def add(self, hosts, unit):
        fresh = [host for host in hosts if (host.name, host.size) not in self.known]
        if fresh:
            self.known.update((host.name, host.size) for host in fresh)
            self.pairs += [(place, (host.name, host.size)) for host in fresh for place in host.places(unit)]
            self.pairs.sort()
            self.places = array("Q", (place for place, _ in self.pairs))
            self.after.clear()

    def distinct(self, place):
        """Owners from the place on, each once, round the whole ring."""
        pairs, many = self.pairs, len(self.pairs)
        at = bisect_left(self.places, place) % many if many else 0
        if at not in self.after:
            self.after[at] = [], set(), [0]
        found, seen, gone = self.after[at]
        i = 0
        while True:
            while i < len(found):
                yield found[i]
                i += 1
            while gone[0] < many:
                owner = pairs[(at + gone[0]) % many][1]
                gone[0] += 1
                if owner not in seen:
                    seen.add(owner)
                    found.append(owner)
                    break
            else:
                return


class Shared:
    """The shapes of one run, by unit: `ring()` makes a balancer's view."""

    def __init__(self):
        self.shapes = {}

    def ring(self):
        return View(self)


class View:
    """One balancer's ring, as `tables.Ring`: the shared places, less the owners that it does not list."""

    def __init__(self, shared):
        self.shared, self.shape, self.members = shared, Shape(), {}

    def join(self, hosts, unit):
        if not hosts:
            return
        if not self.members:
            self.shape = self.shared.shapes.setdefault(unit, Shape())
        self.shape.add(hosts, unit)
        self.members.update(((host.name, host.size), host) for host in hosts)

    def leave(self, host, _unit):
        self.members.pop((host.name, host.size), None)

    def walk(self, place, most):
        """The first `most` distinct members from the place on."""
        members, left = self.members, min(most, len(self.members))
        if left > 0:
            for owner in self.shape.distinct(place):
                if owner in members:
                    yield members[owner]
                    left -= 1
                    if not left:
                        return
