"""One member's view of the fleet: SWIM with suspicion, and what Lifeguard adds, without I/O.

Make a `Core(rules, random, now, life)`, tell it `received(now, data)` and `tick(now)` when `due` has come,
with a clock in ns that counts on while the process is stopped; send what it leaves in `out` as (place,
datagram). `changed` counts the changes of the view.

Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol"
(2002), sections 3 and 4; Dadgar, Phillips, Currey, "Lifeguard: local health awareness for more accurate
failure detection" (2018), section IV. What differs is said in docs/fleet.md."""

from collections import Counter, OrderedDict
from math import ceil, log2
from zlib import crc32

from .quota_leases import Holder, Steward
from .settings import AWARE_MOST, DOUBTS, HELPERS, MOST_MEMBERS, NEWS_TIMES, RETRY, spread, suspicion
from .wire import MOST, PAD, Codec, Entry, Kind, Refused, Status, Window, packed

ALIVE, SUSPECT, GONE, LEFT = Status
MOST_ASKED = 256  # probes in the place of others, remembered until they are answered
MOST_AGAIN = 64  # members that are gone, or doubted by some, to be asked soon
AGAIN_AT_ONCE = 4  # of them, each period
LATE = 0.5  # of a period behind its own time: this process was stopped, and nobody else is to blame
LEAVING = 3  # times that a leaver tells some members, and how many


class Member:
    __slots__ = ("name", "place", "life", "count", "status", "order", "since", "due", "doubts", "told")

    def __init__(self, entry, now):
        self.name, self.place, self.life, self.count = entry.name, entry.place, entry.life, entry.count
        self.status, self.order = entry.status, entry.order
        self.since, self.due, self.doubts = now, 0, set()
        self.told = 0  # times that the last news of it were sent

    def entry(self, by=0):
        return Entry(self.name, self.place, self.life, self.count, self.status, self.order, by)

    @property
    def here(self):
        return self.status <= SUSPECT

    @property
    def barred(self):
        return self.order % 2 == 1


class Probe:
    __slots__ = ("number", "member", "began", "until", "helped")

    def __init__(self, number, member, began, until):
        self.number, self.member, self.began, self.until, self.helped = number, member, began, until, False


def number(name):
    return crc32(name.encode())


class Core:
    def __init__(self, rules, random, now, life):
        self.rules, self.random, self.now, self.life = rules, random, now, life
        self.codec = Codec(rules.fleet, rules.keys, rules.size)
        self.me = Member(Entry(rules.name, rules.place, life, 0, ALIVE), now)
        self.members = {rules.name: self.me}
        self.windows = OrderedDict()  # by name and place: what was taken from there
        self.out, self.changed, self.since = [], 0, now
        self.counts = Counter()
        self.refused = {}  # names that live elsewhere, and where they came from
        self.sequence, self.serial = 0, 0
        self.news = {}  # members of whom there is news
        self.order, self.probe, self.probe_at = [], None, now + self._part_of(rules.period)
        self.asked = OrderedDict()  # number of an own ping -> who asked for it, and its number
        self.again = OrderedDict()  # members to be asked soon, whatever is said of them
        self.retry_at, self.joined = now, not rules.seeds
        self.pull = None  # (member's place, cursor, until, tries) of a view that comes in pieces
        self.pull_at = 0
        self.contests = {}  # name -> (entry that claims it, until)
        self.aware, self.leaving, self.known = 0, False, None
        self.due = now
        self.steward = Steward(rules, now) if rules.name in rules.stewards else None
        self.holder = Holder(rules, now)
        self.refused_as = ""  # why others will not have this member

    # What it says.

    @property
    def alive(self):
        return sum(m.here for m in self.members.values())

    def digest(self):
        """A number that is the same for equal views."""
        if self.known is None:
            text = "\n".join(f"{m.name} {m.life} {m.order}" for m in self._sorted() if m.here or m.barred)
            self.known = crc32(text.encode())
        return self.known

    def shown(self, now):
        names = {status: [m.name for m in self._sorted() if m.status is status] for status in Status}
        return {
            "name": self.rules.name, "view": f"{self.digest():08x}", "alive": names[ALIVE] + names[SUSPECT],
            "suspect": names[SUSPECT], "gone": names[GONE] + names[LEFT],
            "since_ms": (now - self.since) // 1_000_000, "left": names[LEFT], "life": self.life,
            "barred": [m.name for m in self._sorted() if m.barred], "refused": self.refused,
            "refused_as": self.refused_as, "aware": self.aware, "part": round(self.holder.part(now), 9),
            "lives": {m.name: m.life for m in self._sorted() if m.here},
        }  # fmt: skip

    def places(self):
        """Where members were last reached, for a start with no seed alive."""
        return [m.place for m in self.members.values() if m is not self.me and m.here]

    def _sorted(self):
        return [self.members[name] for name in sorted(self.members)]

    # What comes in.

    def received(self, now, data):
        self.now = max(self.now, now)
        try:
            message = self.codec.unpack(data)
            self._take(message, len(data))
        except Refused as why:
            self.counts[f"refused.{why}"] += 1

    def _take(self, message, length):
        sender = message.sender
        if sender.name == self.rules.name:
            self._claimed(sender)
            raise Refused("name")
        known = self.members.get(sender.name)
        if known is not None and known.barred and known.order >= sender.order:
            self._send(sender.place, Kind.REFUSED, ["removed"], size=length)
            raise Refused("removed")
        if known is not None and sender.life < known.life:
            self._send(sender.place, Kind.REFUSED, ["life"], [known], size=length)
            raise Refused("old")
        window = self.windows.setdefault((sender.name, sender.place), Window())
        self.windows.move_to_end((sender.name, sender.place))
        while len(self.windows) > 2 * MOST_MEMBERS:
            self.windows.popitem(last=False)
        window.take(sender.life, message.sequence)
        if not self._heard(sender):
            self._send(sender.place, Kind.REFUSED, ["name"], size=length)
            raise Refused("name")
        for one in message.news:
            self._apply(one)
        self._answer(message, length)

    def _heard(self, sender):
        """A member speaks for itself. False when its name lives elsewhere."""
        known = self.members.get(sender.name)
        if known is not None and known.life == sender.life and known.place == sender.place:
            self.contests.pop(sender.name, None)  # it lives: who else claims its name does not have it
        self._apply(sender)
        known = self.members.get(sender.name)
        return known is not None and known.place == sender.place

    def _answer(self, message, length):
        sender, kind, arguments = message.sender, message.kind, message.arguments
        member = self.members[sender.name]
        if kind is Kind.PING:
            self._send(sender.place, Kind.ACK, [arguments[0], self.digest()], [member], size=length)
            self._compare(member, arguments[1])
        elif kind is Kind.ACK:
            self._acked(member, arguments[0])
            self._compare(member, arguments[1])
        elif kind is Kind.ASK and len(self.asked) < MOST_ASKED:
            self.serial += 1
            self.asked[self.serial] = (sender.place, arguments[0], self.now + 2 * self.rules.period)
            self._send(arguments[1], Kind.PING, [self.serial, self.digest(), PAD])
        elif kind is Kind.PULL:
            some = [m.entry() for m in self._sorted() if m.name > arguments[0]]
            self._send(sender.place, Kind.PIECE, ["", []], some, size=length)
        elif kind is Kind.PIECE and self.pull is not None and self.pull[0] == sender.place:
            for one in arguments[1]:
                self._apply(one)
            self.joined = True
            until = self.now + self.rules.patience
            self.pull = (sender.place, arguments[0], until, 0) if arguments[0] else None
            self._ask_piece()
        elif kind is Kind.REFUSED:
            self.refused_as = arguments[0][:20]
            self.counts["told.refused"] += 1
        elif kind is Kind.CLAIM and self.steward is not None:
            part, lasts = self.steward.claim(self.now, sender.name)
            self._send(sender.place, Kind.GRANT, [arguments[0], part, lasts], size=length)
        elif kind is Kind.GRANT:
            self.holder.granted(self.now, sender.name, *arguments)

    def _acked(self, member, count):
        if self.probe is not None and self.probe.number == count:
            self.probe, self.aware = None, max(0, self.aware - 1)
        if (asked := self.asked.pop(count, None)) is not None:
            self._send(asked[0], Kind.ACK, [asked[1], self.digest()])
        self.refused_as = ""
        if not self.joined and self.pull is None:
            self._pull(member.place)

    def _compare(self, member, digest):
        """Views that differ although all news has been told are compared as a whole."""
        settled = self.now - self.since > spread(self.rules, self.alive) and self.now >= self.pull_at
        if digest != self.digest() and settled and self.pull is None:
            self._pull(member.place)

    def _claimed(self, sender):
        """Somebody else speaks under this member's name."""
        self.counts["claimed"] += 1
        if sender.place != self.rules.place:
            self.refused[sender.name] = "{}:{}".format(*sender.place)

    # What is said of members.

    def _apply(self, entry):
        """News of a member; what is older than what is known changes nothing."""
        if entry.name == self.rules.name:
            self._defend(entry)
            return
        known = self.members.get(entry.name)
        if known is None:
            if len(self.members) >= MOST_MEMBERS:
                self.counts["refused.room"] += 1
                return
            known = self.members[entry.name] = Member(entry._replace(status=GONE), self.now)
            known.order = 0
            known.life = -1  # whatever is said is news
        if entry.order > known.order:
            was, known.order = known.barred, entry.order
            if known.barred and known.here:
                self._become(known, GONE)
            self._tell(known, was != known.barred)
        if known.barred:
            known.life = max(known.life, entry.life)
            return
        if entry.life < known.life or (entry.life == known.life and entry.count < known.count):
            if not entry.status and known.status > SUSPECT:
                self._ask_again(known)  # others think that it lives: it may have to defend itself
            return
        newer = entry.life > known.life or entry.count > known.count
        if newer and entry.place != known.place and known.here and known.life >= 0:
            self._contest(known, entry)
            return
        if entry.status is GONE and known.status is ALIVE:
            # After a cut each side tells of the other's dead, who live: they may defend themselves.
            entry = entry._replace(status=SUSPECT)
            self._ask_again(known)
        if newer or entry.status > known.status:
            known.place, known.life, known.count = entry.place, entry.life, entry.count
            known.doubts = {entry.by} if entry.status is SUSPECT else set()
            self._become(known, entry.status)
        elif entry.status is SUSPECT and known.status is SUSPECT and entry.by not in known.doubts:
            if len(known.doubts) < DOUBTS:  # a doubt of its own: told on, it shortens the others' time, too
                known.doubts.add(entry.by)
                known.due = known.since + suspicion(self.rules, self.alive, len(known.doubts))
                self._tell(known, False)
        elif entry.status < known.status and known.status > SUSPECT:
            self._ask_again(known)

    def _become(self, member, status):
        was, member.status, member.since = member.status, status, self.now
        if status is SUSPECT:
            member.due = self.now + suspicion(self.rules, self.alive, len(member.doubts))
        elif was <= SUSPECT and status is GONE:
            self.counts["gone"] += 1
        if status is ALIVE:
            self.again.pop(member.name, None)
        self._tell(member, True)

    def _tell(self, member, changes):
        member.told = 0
        self.news[member.name] = member
        if changes:
            self.changed += 1
            self.since, self.known = self.now, None

    def _defend(self, entry):
        me = self.me
        if entry.order > me.order:
            me.order = entry.order
            self._tell(me, True)
        if entry.life > me.life:
            # A later life under this name: an own one, if a clock went back; or it lives elsewhere.
            if entry.place == me.place:
                self.live_as(min(MOST, entry.life + 1))
            elif entry.status <= SUSPECT:
                self._claimed(entry)
        elif entry.life == me.life and entry.status > ALIVE and entry.count >= me.count and not self.leaving:
            me.count = min(MOST, entry.count + 1)
            self.aware = min(AWARE_MOST, self.aware + 1)
            self.counts["defended"] += 1
            self._tell(me, False)

    def live_as(self, life):
        """Another life from now on, later than any that others have heard of."""
        self.life = self.me.life = life
        self.me.count, self.sequence = 0, 0
        self._tell(self.me, True)

    def _contest(self, known, entry):
        """Another place claims a living member's name: the one that has it is asked first."""
        self.refused[entry.name] = "{}:{}".format(*entry.place)
        while len(self.refused) > MOST_AGAIN:
            del self.refused[next(iter(self.refused))]
        if entry.name not in self.contests and len(self.contests) < MOST_AGAIN:
            self.contests[entry.name] = (entry, self.now + self.rules.period * (1 + self.aware))
            self.counts["contests"] += 1
            self.serial += 1
            self._send(known.place, Kind.PING, [self.serial, self.digest(), PAD], [known])

    def _ask_again(self, member):
        if len(self.again) < MOST_AGAIN and not member.barred and member.status is not LEFT:
            self.again.setdefault(member.name, self.now)

    # Staff.

    def remove(self, name):
        """The member is refused from now on by all; False when nobody has that name."""
        return self._ordered(name, 1)

    def admit(self, name):
        """It may come back."""
        return self._ordered(name, 0)

    def _ordered(self, name, odd):
        member = self.members.get(name)
        if member is None or member is self.me:
            return False
        if member.order % 2 != odd:
            self._apply(member.entry()._replace(order=member.order + 1))
        return True

    def leave(self, now):
        """Says goodbye; nothing is to be told to it any more."""
        self.now, self.leaving = max(self.now, now), True
        self.me.status = LEFT
        others = [m for m in self.members.values() if m is not self.me and m.here]
        for member in self.random.sample(others, min(len(others), LEAVING * LEAVING)):
            self.serial += 1
            self._send(member.place, Kind.PING, [self.serial, self.digest(), PAD], [self.me])

    # Time.

    def tick(self, now):
        """All that is due; `due` is when to call again."""
        late = now - self.due
        self.now = now = max(self.now, now)
        if late > LATE * self.rules.period:
            self._starved(late)
        if not self.leaving:
            self._step(now)
        times = [self.probe_at, self.retry_at, self.holder.due(now)]
        if self.probe is not None:
            times.append(self.probe.until)
        if self.pull is not None:
            times.append(self.pull[2])
        times += [until for _, until in self.contests.values()]
        self.due = max(now + 1_000_000, min(times))

    def _starved(self, late):
        """This process stood still: what others did not answer meanwhile is its own fault."""
        self.counts["starved"] += 1
        self.aware = min(AWARE_MOST, self.aware + 1)
        self.probe = None
        for member in self.members.values():
            if member.status is SUSPECT:
                member.due += late
        self.contests = {name: (entry, until + late) for name, (entry, until) in self.contests.items()}
        self.probe_at = self.now + self._part_of(self.rules.period)

    def _step(self, now):
        if self.probe is not None and now >= self.probe.until:
            self._unanswered()
        if now >= self.probe_at:
            self.probe_at = now + self.rules.period * (1 + self.aware)
            self._probe()
            self._forget()
            for _ in range(min(AGAIN_AT_ONCE, len(self.again))):
                name, _ = self.again.popitem(last=False)
                if (member := self.members.get(name)) is not None:
                    self._ping(member)
        if now >= self.retry_at:
            self.retry_at = now + (RETRY * self.rules.period if self.joined else self.rules.patience)
            self._retry()
        if self.pull is not None and now >= self.pull[2]:
            place, cursor, _, tries = self.pull
            self.pull = (place, cursor, now + self.rules.patience, tries + 1) if tries < 2 else None
            self._ask_piece()
        for name in [name for name, (_, until) in self.contests.items() if now >= until]:
            entry, _ = self.contests.pop(name)
            known = self.members[name]
            self._become(known, GONE)  # the one that had the name did not answer
            self.refused.pop(name, None)
            self._apply(entry)
        for steward, count in self.holder.claims(now):
            if steward == self.rules.name:
                part, lasts = self.steward.claim(now, steward)
                self.holder.granted(now, steward, count, part, lasts)
            elif (member := self.members.get(steward)) is not None and member.here:
                self._send(member.place, Kind.CLAIM, [count, PAD])

    def _part_of(self, span):
        return int(span * self.random.random())

    def _probe(self):
        for member in list(self.members.values()):
            if member.status is SUSPECT and self.now >= member.due:
                self._become(member, GONE)
        if self.probe is not None:
            return
        while True:
            if not self.order:
                self.order = [m.name for m in self.members.values() if m.here and m is not self.me]
                self.random.shuffle(self.order)
                if not self.order:
                    return
            member = self.members.get(self.order.pop())
            if member is not None and member.here:
                break
        until = self.now + self.rules.patience * (1 + self.aware)
        self.serial += 1
        self.probe = Probe(self.serial, member, self.now, until)
        self._send(member.place, Kind.PING, [self.serial, self.digest(), PAD], [member])

    def _unanswered(self):
        probe = self.probe
        if not probe.helped:
            probe.helped = True
            probe.until = probe.began + self.rules.period * (1 + self.aware)
            apart = (self.me, probe.member)
            others = [m for m in self.members.values() if m.status is ALIVE and m not in apart]
            for helper in self.random.sample(others, min(HELPERS, len(others))):
                self._send(helper.place, Kind.ASK, [probe.number, packed(probe.member.place)])
            self._send(probe.member.place, Kind.PING, [probe.number, self.digest(), PAD], [probe.member])
            return
        self.probe, member = None, probe.member
        self.aware = min(AWARE_MOST, self.aware + 1)
        if member.status is ALIVE:
            member.doubts = {number(self.rules.name)}
            self._become(member, SUSPECT)
            self.counts["suspected"] += 1
        elif member.status is SUSPECT:
            self._apply(member.entry(number(self.rules.name)))

    def _retry(self):
        """A cut may have healed, or a seed be there by now: one of those that are gone is asked."""
        here = {m.place for m in self.members.values() if m.here}
        lost = [m for m in self.members.values() if m.status is GONE and not m.barred]
        if lost:
            self._ping(self.random.choice(lost))
        places = [place for place in (*self.rules.seeds, *self.earlier) if place not in here]
        if places and (not self.joined or self.random.random() < 1 / RETRY or self.alive == 1):
            self.serial += 1
            place = self.random.choice(places)
            self._send(place, Kind.PING, [self.serial, self.digest(), PAD])

    earlier = ()  # places of members that an earlier life of this one knew

    def _ping(self, member):
        self.serial += 1
        self._send(member.place, Kind.PING, [self.serial, self.digest(), PAD], [member])

    def _pull(self, place):
        self.pull_at = self.now + 2 * spread(self.rules, self.alive)
        self.pull = (place, "", self.now + self.rules.patience, 0)
        self._ask_piece()

    def _ask_piece(self):
        if self.pull is not None:
            # Padded: no answer is larger than what asked for it.
            pad = max(0, self.rules.size - 21 - 120 - len(self.pull[1]))
            self._send(self.pull[0], Kind.PULL, [self.pull[1], bytes(pad)])

    def _forget(self):
        now = self.now
        for name in [m.name for m in self.members.values() if m.status > SUSPECT and not m.barred
                     and now - m.since > self.rules.remember]:  # fmt: skip
            del self.members[name]
            self.news.pop(name, None)
        for serial in [serial for serial, (_, _, until) in self.asked.items() if until < now]:
            del self.asked[serial]

    # What goes out.

    def _send(self, place, kind, arguments, first=(), size=None):
        """One datagram; `first` are members whose news must be with it."""
        if kind is Kind.PIECE:
            news, members = first, []
        else:
            if kind is not Kind.REFUSED:  # that must tell of the later life, also while it is thought alive
                first = [m for m in first if m.status is not ALIVE or m.order]
            rest = [m for m in self.news.values() if m not in first]
            rest.sort(key=lambda m: (m is not self.me, m.told))  # one's own defence before all else
            members = [*first, *rest]
            news = [m.entry(self._by(m)) for m in members]
        self.sequence += 1
        me = self.me.entry()
        data, taken = self.codec.pack(me, self.sequence, kind, arguments, news, size)
        if size is not None and len(data) > size:
            self.counts["unanswered"] += 1  # never more than was asked: the asker's address may be false
            return
        most = NEWS_TIMES * ceil(log2(self.alive + 1))
        for member in members[:taken]:
            member.told += 1
            if member.told >= most:
                self.news.pop(member.name, None)
        self.out.append((place, data))

    def _by(self, member):
        if member.status is not SUSPECT:
            return 0
        own = number(self.rules.name)
        return own if own in member.doubts else next(iter(sorted(member.doubts)), 0)
