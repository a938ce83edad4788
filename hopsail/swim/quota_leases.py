"""Parts of a whole that follow how many balancers live; their sum never passes the whole. No I/O.

The law. Of a whole (1), each of the N balancers that the settings count has RESERVE / N for itself, always.
The rest is split into equal pools, one for each steward that the settings name. A steward alone deals its
pool, as parts that last a stated time by its clock; the sum of the parts that it has out is at most its pool:
it deals only what is not out, and one that starts deals nothing until all that an earlier life of it may have
dealt is over. Who holds a part counts its time from when it asked, which is sooner, and the steward waits
longer by what two clocks may differ. So at any instant, for all balancers together, sum(parts in use)
<= N x RESERVE / N + sum(pools) = 1, whatever anyone believes of who lives, whatever is lost, doubled, late
or cut: no view is asked. It holds for up to N balancers, and for clocks that differ by at most DRIFT of a
time; a steward's name must live once.

With no steward named, each balancer has its equal part, as without peers."""

from .settings import DRIFT, RESERVE

WHOLE = 1_000_000_000  # a whole in the units that are dealt: integers, whose sums are exact
ASKS = 3  # times that a holder asks within the life of a part
MOST_HOLDERS = 4096


class Steward:
    """Deals one pool."""

    def __init__(self, rules, now):
        self.rules, self.pool = rules, int(WHOLE * (1 - RESERVE)) // max(1, len(rules.stewards))
        self.held = {}  # name -> its parts that may be in use, the largest first: (part, until)
        self.open_at = now + int(rules.lease * (1 + DRIFT))  # an earlier life's parts are over by then

    def claim(self, now, name):
        """(part, ns) for this claimant; the time is 0 while there is none."""
        if now < self.open_at:
            return 0, 0
        for old, parts in list(self.held.items()):
            self.held[old] = [(part, until) for part, until in parts if until > now]
            if not self.held[old]:
                del self.held[old]
        if name not in self.held and len(self.held) >= MOST_HOLDERS:
            return 0, 0
        others = sum(parts[0][0] for held, parts in self.held.items() if held != name)
        fair = self.pool // (len(self.held) + (name not in self.held))
        part = min(fair, self.pool - others)
        # A larger part from before stays out until it ends: this answer may be lost.
        before = [(old, until) for old, until in self.held.get(name, ()) if old > part]
        self.held[name] = [*before, (part, now + int(self.rules.lease * (1 + DRIFT)))]
        return part, self.rules.lease

    def out(self, now):
        """What may be in use of the pool."""
        held = self.held.values()
        return sum(max((part for part, until in parts if until > now), default=0) for parts in held)


class Holder:
    """What this balancer may use of a whole."""

    def __init__(self, rules, now):
        self.rules, self.asked, self.parts, self.serial = rules, {}, {}, 0
        self.at = now
        self.balancers = 1  # as the settings count them

    def due(self, now):
        if not self.rules.stewards:
            return now + self.rules.lease
        # Also when a part ends: to use it a moment longer may be to use it twice.
        return min([self.at, *(until for _, until in self.parts.values() if until > now)])

    def claims(self, now):
        """Stewards to be asked now, each with the number of its question."""
        if not self.rules.stewards or now < self.at:
            return []
        self.at = now + self.rules.lease // ASKS
        found = []
        for steward in self.rules.stewards:
            self.serial += 1
            self.asked[steward] = (self.serial, now)
            found.append((steward, self.serial))
        return found

    def granted(self, now, steward, serial, part, lasts):
        """A steward's answer; one to an older question says nothing any more."""
        asked, at = self.asked.get(steward, (0, 0))
        if serial != asked or steward not in self.rules.stewards:
            return
        del self.asked[steward]
        if lasts:
            self.parts[steward] = (min(part, WHOLE), at + min(lasts, self.rules.lease))

    def units(self, now):
        """In units of WHOLE, what leases give it."""
        return sum(part for part, until in self.parts.values() if now < until)

    def part(self, now):
        """The share of a whole that may be used now."""
        if not self.rules.stewards:
            return 1 / self.balancers
        return RESERVE / self.balancers + self.units(now) / WHOLE


def deal(balancer, now, part):
    """Tells a module its part of what all balancers share, from now on."""
    balancer.part = part
    balancer.granted.deal(now, part)
    if balancer.storms:
        balancer.storms.dealt(now, part)
