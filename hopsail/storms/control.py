"""What one balancer sees of a storm, and what it says to the decision module.

A storm feeds itself: what is turned away comes again, and is turned away again. A burst or a hot key
does not: its requests are first tries. So the sign is the share of what comes that has been here
before, marked by clients or known by customer and key. While it lasts

- returns have a budget, a part of what is being served: retries are damped first, and first tries keep
  their room;
- each refusal is dealt a time of its own at which to come again, one behind the other at the pace at
  which returns are let in, so that the wait grows with the backlog, up to the longest that settings
  allow;
- who comes before that time is refused at once, keeps the time that it had, and so costs the others
  nothing.

And at all times, storm or not, the origin is sent no more than this balancer's equal part of what it
bears: all parts together stay below its stopping point with no talk among balancers.

The module (`decide.py`) decides by the `Verdict`; nothing here sends, waits or answers. Times are whole
ns."""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

from ..model import MS, SECOND, Sum, Tokens

HALF = 1 * SECOND  # half-life of what was seen: a storm is there within a second, and over within some
USUAL = 60 * SECOND  # half-life of the usual rate of new connections
LEAST = 20.0  # of what was seen lately: fewer say nothing, a balancer of hundreds sees a few a second
STORM, OVER = 0.25, 0.08  # share of returns from which it is a storm, and below which it is over
RUSH = 4.0  # times the usual rate of new connections: clients reconnect
RETURNS = 0.25  # of what is being served, let in of returns: first tries keep the rest
RETURNS_LEAST = 1.0  # a second, over all balancers: with nothing served, returns are how one learns of it
RETURNS_BURST = 0.25  # seconds of it saved up
FETCHES = 0.85  # of what stops the origin: the rest is for what is on its way as lists and loads shift
FETCH_BURST = 0.1  # seconds of it saved up: the origin's own window is longer
STEP = 100 * MS  # the shortest wait: a few service times
SPREAD = 0.25  # of a wait, to either side: refusals of one moment part
EARLY = 20 * MS  # before its time a client may be and still count as one that heeds: clocks and ways differ
LATEST = 300 * MS  # after its time in which who asks for the same is taken for one that was refused: later
# it is as likely another, and a key that many were refused would make returns of first tries for long
MARKS = 10 * SECOND  # after a mark in which a customer's clients are held to mark each further try
MOST_KNOWN = 4096  # refusals that are remembered: 100 bytes each


class Rules(NamedTuple):
    """Settings of storm control; those of a deployment that has none are None (`model.Settings.storms`)."""

    most_wait: int = 2 * SECOND  # ns, the longest wait that clients can be asked for; 0 = none can
    origin: float = 0.0  # requests a second that stop the origin, over all balancers; 0 = nothing does


class State(Enum):
    CALM = 0
    RUSH = 1  # clients reconnect: nothing is damped, but staff see it
    STORM = 2


class Verdict(NamedTuple):
    """What storm control says of a retrieval that has come."""

    again: bool = False  # it has been here before
    damped: bool = False  # there is no room for its return now
    wait: int = 0  # ns until it may come again, if it is damped


CALM = Verdict()


class Control:
    """`arrived`, `refused`, `served`, `connected`, `fetched` tell it what happens.

    A clock that jumps back is held at the latest time seen."""

    def __init__(self, rules: Rules, balancers: int, random, now: int):
        self.rules, self.balancers, self.random, self.now = rules, max(1, balancers), random, now
        self.firsts, self.returns, self.good = (Sum(HALF, now) for _ in range(3))
        self.connections, self.usual = Sum(HALF, now), Sum(USUAL, now)
        self.raging = False
        self.marking = {}  # customer -> when a mark of it was last seen
        self.known = OrderedDict()  # (customer, key) -> when it may come again
        self.next = now  # up to here, times to come again have been dealt out
        self.room = Tokens(0.0, 1.0, 1.0, now)  # returns that may be let in
        rate = FETCHES * rules.origin / self.balancers
        # A balancer's burst may be less than one request: it starts anywhere, so that hundreds
        # do not begin as one.
        most = max(1.0, FETCH_BURST * rate)
        self.fetches = Tokens(rate, most, random.random() * most, now) if rules.origin else None
        self.counts = dict.fromkeys(("returns", "unmarked", "early", "damped", "storms"), 0)

    def _at(self, now):
        self.now = max(self.now, now)
        return self.now

    # What comes in.

    def connected(self, now: int) -> None:
        """A client has opened a connection."""
        now = self._at(now)
        self.connections.add(now)
        self.usual.add(now)

    def arrived(self, now: int, customer: int, key: int, marked: bool = False, hot: bool = False) -> Verdict:
        """A retrieval has come; `marked` by its client as a further try, `hot` if many ask for its key.

        Without a mark, the same customer and key soon after a refusal is a return; of a hot key it may
        be anyone."""
        now = self._at(now)
        if marked:
            self.marking[customer] = now
        # A refusal says of one request at most that it is a return: the next that asks for the same may be
        # anyone's first try, and to take all of them for returns would be a storm of its own.
        due = None if hot else self.known.pop((customer, key), None)
        if due is not None and (now > due + LATEST or self._marks(now, customer)):
            due = None
        again = marked or due is not None
        (self.returns if again else self.firsts).add(now)
        self.counts["returns"] += again
        self.counts["unmarked"] += again and not marked
        if not self._judge(now) or not again:
            return Verdict(again)
        if due is not None and now < due - EARLY:
            # It keeps its time, and no other's is put off for it.
            self.counts["early"] += 1
            return Verdict(True, True, self._bounded(due - now))
        self.room.rate = self._pace(now)
        self.room.most = 1 + RETURNS_BURST * self.room.rate
        if self.room.read(now) >= 1:
            self.room.level -= 1
            return Verdict(True)
        self.counts["damped"] += 1
        return Verdict(True, True, self.refused(now, customer, 0))

    def served(self, now: int) -> None:
        """A retrieval was handled."""
        self.good.add(self._at(now))

    # What goes out.

    def refused(self, now: int, customer: int, key: int, calm: int = 0) -> int:
        """A retrieval is turned away; the ns after which it may come again, `calm` when there is no storm.

        `key` is 0 for a return: what is remembered are refusals of first tries."""
        now, wait = self._at(now), min(calm, self.rules.most_wait)
        if self.raging and self.rules.most_wait:
            self.next = max(self.next, now) + int(SECOND / self._pace(now))
            # Beyond the longest wait no time can be dealt: what is left is to spread over its last half.
            self.next = min(self.next, now + self.rules.most_wait)
            part = 1 + SPREAD * (2 * self.random.random() - 1)
            if self.next - now >= self.rules.most_wait:
                part = 1 - self.random.random() / 2
            wait = self._bounded(int((self.next - now) * part))
        if key and not self._marks(now, customer):
            self.known[customer, key] = now + wait
            self.known.move_to_end((customer, key))
            while len(self.known) > MOST_KNOWN:
                self.known.popitem(last=False)
        return wait

    def may_fetch(self, now: int) -> bool:
        """Whether the origin may be sent one more request from here."""
        return self.fetches is None or self.fetches.read(self._at(now)) >= 1

    def dealt(self, now: int, part: float) -> None:
        """This balancer's part of the origin's rate is another from now on; more than it saves is lost."""
        if self.fetches is not None:
            self.fetches.read(self._at(now))
            self.fetches.rate = FETCHES * self.rules.origin * part
            self.fetches.most = max(1.0, FETCH_BURST * self.fetches.rate)
            self.fetches.level = min(self.fetches.level, self.fetches.most)

    def fetched(self, now: int) -> None:
        if self.fetches is not None:
            self.fetches.read(self._at(now))
            self.fetches.level -= 1

    # What it looks like.

    def state(self, now: int) -> State:
        now = self._at(now)
        if self._judge(now):
            return State.STORM
        usual = self.usual.read(now) * HALF / USUAL  # both sums are rates times their half-lives
        rush = self.connections.read(now)
        return State.RUSH if rush >= LEAST and rush > RUSH * usual else State.CALM

    def backlog(self, now: int) -> float:
        """Returns for which times have been dealt that are still to come."""
        now = self._at(now)
        return max(0, self.next - now) * self._pace(now) / SECOND if self.raging else 0.0

    def _marks(self, now, customer):
        """Whether the customer's clients mark further tries: then what is not marked is a first one."""
        return now - self.marking.get(customer, -MARKS) < MARKS

    def _judge(self, now):
        returns, firsts = self.returns.read(now), self.firsts.read(now)
        share = returns / (returns + firsts) if returns + firsts >= LEAST / 2 else 0.0
        if not self.raging and share >= STORM and returns + firsts >= LEAST:
            self.raging, self.next = True, now
            self.counts["storms"] += 1
        elif self.raging and share < OVER:
            self.raging = False
        return self.raging

    def _pace(self, now):
        """Returns a second that are let in."""
        good = self.good.read(now) * 0.693 * SECOND / HALF  # ln 2: a sum that decays is a rate times this
        return max(RETURNS_LEAST / self.balancers, RETURNS * good)

    def _bounded(self, wait):
        return max(min(STEP, self.rules.most_wait), min(wait, self.rules.most_wait))
