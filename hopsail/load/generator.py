"""Open-loop load: requests go out when they are due, whatever became of those before, and their time counts
from when they were due. A closed loop waits with a slow balancer and leaves out what others wait for it."""

import ipaddress
import json
import os
import signal
import subprocess
import sys
import tempfile
from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate
from pathlib import Path
from random import Random
from time import monotonic, sleep

from hdrh.histogram import HdrHistogram

from ..model import MS, SECOND
from ..net.discovery import address
from ..net.loop import Loop
from ..net.messages import AnswerReader, MessageFault
from ..net.stream import Stream, dial
from ..series import Series, spans, write
from .standins import Fleet

MOST_REQUESTS = 1_000_000  # of one run: a slip in a rate must end
LONGEST = 600 * SECOND
MOST_CONNECTIONS = 2000
AFTER = 3 * SECOND  # that answers are waited for at the end
READY_WITHIN = 10.0  # seconds for a balancer to be there
LEAST_TIME, MOST_TIME, DIGITS = 1, 60_000_000, 3  # microseconds that a histogram tells apart
HOT_MOVES = SECOND  # a hot key's time
DIES_BEFORE = 100 * MS  # a request may go out to a balancer that was killed so long before
CLIENTS = ("storm", "hot", "scan")  # troubles that clients make
STATUS = {200: "handled", 429: "bounced", 503: "bounced"}


class LoadFault(ValueError):
    """The load cannot be made."""


def loopback(text):
    """The address, if it is this machine's own: load goes nowhere else."""
    try:
        host, port = address(text)
        if not ipaddress.ip_address(host).is_loopback:
            raise LoadFault(f"{text}: load goes to loopback addresses only")
    except LoadFault:
        raise
    except ValueError as fault:
        raise LoadFault(f"{text}: {fault}") from None
    return host, port


class Caller(Stream):
    """A client's connection with one request on it."""

    def __init__(self, loop, place, load):
        self.load, self.place, self.reader, self.asked = load, place, AnswerReader(), None
        self.head = b""
        super().__init__(loop, dial(place), dialing=True)

    def ask(self, asked, data):
        self.asked, self.head = asked, data
        if not self.dialing:
            self._begin()

    def connected(self):
        self._begin()

    def _begin(self):
        self.load.begun(self)
        self.write(self.head)

    def received(self, data):
        try:
            answer = self.reader.feed(data)
        except MessageFault:
            self._end()
            return
        if answer is not None:
            self.reader.taken()
            keep = answer.keep
            self.load.answered(self, STATUS.get(answer.status, "scrapped"), answer.wait)
            if keep and self.open:
                self.load.idle[self.place].append(self)
            else:
                self.close()

    def ended(self):
        if self.asked is not None:
            self.load.answered(self, "lost")

    def released(self):
        self.loop.soon(self.reader.forget)
        self.load.gone(self)


class Asked:
    """One client: its request, and the try of it that is out."""

    __slots__ = ("due", "kind", "key", "tries", "number", "sent", "receipt", "marks", "heeds")

    def __init__(self, due, kind, key, tries):
        self.due, self.kind, self.key, self.tries = due, kind, key, tries
        self.marks = self.heeds = False  # whether it marks a further try, and waits as it is told in a storm
        self.number, self.sent, self.receipt = 0, 0, 0  # of the try that is out: its id, and when it went out


@dataclass(frozen=True, slots=True)
class Final:
    """A request that is over: when it was due and ended (ns, monotonic), what it is worth, whether it was
    handled, and whether in time."""

    due: int
    ended: int
    benefit: float
    handled: bool
    in_time: bool


class Load:
    """The requests of a scenario, sent to balancers in turn at random; clients try again as in the emulator.

    `trace` keeps what clients saw in the emulator's form, its times those of the monotonic clock."""

    def __init__(self, loop, played, places, seed=1):
        self.loop, self.played, self.places = loop, played, list(places)
        self.random, self.luck = Random(f"{seed}/load"), Random(f"{seed}/luck")
        self.manners = Random(f"{seed}/manners")
        load = played.load
        if load.rate * load.lasts / SECOND > MOST_REQUESTS or load.lasts > LONGEST:
            raise LoadFault(f"more than {MOST_REQUESTS} requests or {LONGEST // SECOND} s")
        self.idle, self.open, self.number = {place: [] for place in places}, {}, 0
        self.times, self.lately = (HdrHistogram(LEAST_TIME, MOST_TIME, DIGITS) for _ in range(2))
        self.words = dict.fromkeys(("handled", "bounced", "scrapped", "lost", "not sent", "left"), 0)
        self.late, self.worth, self.gained, self.waiting = 0, 0.0, 0.0, 0
        self.by_heed = {True: [0, 0], False: [0, 0]}  # clients that heed, and others: in time, all
        self.series = Series(-(-load.lasts // SECOND))
        self.trace, self.kinds, self.legs, self.deaths = [], [], {}, {}
        self.finals = []  # requests that are over, of those that count
        self.factor, self.storms, self.hot, self.scanned = 1.0, 0, 0.0, 0
        self.halted = lambda: False  # whether somebody wants it to end
        self.watchers, self.stopped = [], False  # watchers: called with each second that is over
        self.keys = list(accumulate(1 / i**load.zipf for i in range(1, load.keys + 1)))
        self.parts = list(accumulate(kind.part for kind in played.track))
        self.begin = loop.now()
        self.end, self.next = self.begin + load.lasts, self.begin
        loop.at(self.next, self._due)
        loop.at(self.begin + SECOND, self._tick)

    def _due(self):
        now = self.loop.now()
        while self.next <= min(now, self.end):  # also those that are due since: they are not put off
            kind = bisect_left(self.parts, self.random.random() * self.parts[-1])
            key = bisect_left(self.keys, self.random.random() * self.keys[-1])
            if self.random.random() < self.hot:
                key = f"hot{(self.next - self.begin) // HOT_MOVES}"
            client = Asked(self.next, min(kind, len(self.parts) - 1), key, self.played.clients.tries)
            clients = self.played.clients
            client.marks = self.manners.random() < clients.marks
            client.heeds = self.manners.random() < clients.heed
            self.late = max(self.late, now - self.next)
            self._send(client)
            self.next += int(self.random.expovariate(self.played.load.rate * self.factor) * SECOND)
        if self.next <= self.end:
            self.loop.at(self.next, self._due)

    def _tick(self):
        """A second is over."""
        now = self.loop.now()
        for caller in [c for c in self.open if c.asked is not None]:
            if now > caller.asked.sent + self.played.clients.patience + SECOND:
                caller.close()  # no answer will come: its client gives up, and the rules' checker will say so
                self.answered(caller, "lost")
        second = (now - self.begin) // SECOND - 1
        for watcher in self.watchers:
            watcher(second)
        self.lately.reset()
        if now < self.end and not self.stopped:
            self.loop.at(self.begin + (second + 2) * SECOND, self._tick)

    # Troubles that clients make.

    def trouble(self, trouble):
        """Sets one on the loop, at its time."""
        begins, ends = self.begin + trouble.at, self.begin + trouble.at + trouble.lasts
        if trouble.what == "storm":
            self.loop.at(begins, lambda: self.storm(trouble.times))
            self.loop.at(ends, lambda: self.calm(trouble.times))
        elif trouble.what == "hot":
            self.loop.at(begins, lambda: setattr(self, "hot", trouble.part or 0.2))
            self.loop.at(ends, lambda: setattr(self, "hot", 0.0))
        else:
            self.loop.at(begins, lambda: self.scan(trouble.rate, trouble.lasts))

    def storm(self, times):
        self.storms, self.factor = self.storms + 1, self.factor * times

    def calm(self, times):
        self.storms, self.factor = self.storms - 1, self.factor / times

    def scan(self, rate, lasts):
        """Reads of keys that nobody has asked for, one after the other."""
        now = self.loop.now()
        for i in range(int(rate * lasts / SECOND)):
            client = Asked(now + int(i * SECOND / rate), 0, f"scan{self.scanned}", 1)
            self.scanned += 1
            self.loop.at(client.due, lambda client=client: self._send(client))

    def broken(self, place):
        """The balancer there has been killed: what it had in hand is lost with it, by no fault of its."""
        self.deaths[place] = self.loop.now()

    # Requests.

    def _send(self, client):
        if self.stopped:
            return
        self.number += 1
        client.number, client.sent, client.tries = self.number, self.loop.now(), client.tries - 1
        client.receipt = client.receipt or self.number
        track = self.played.track[client.kind]
        self.kinds.append(client.kind)
        place = self.places[int(self.luck.random() * len(self.places))]
        patience = self.played.clients.patience / SECOND
        lines = [
            f"{'PUT' if track.write else 'GET'} /{track.name}/k{client.key} HTTP/1.1", "Host: balancer",
            f"X-Trace-Id: l{self.number}-{self.begin}", "X-Customer: load", f"X-Expires-In: {patience:.3f}",
        ]  # fmt: skip
        if client.marks and client.tries + 1 < self.played.clients.tries:
            lines += ["X-Second-Try: 1"]
        if track.write:
            lines += ["Content-Length: 1"]
            lines += [f"Idempotency-Key: m{client.receipt}-{self.begin}"] * (track.effect == "by_key")
        data = "\r\n".join([*lines, "", "v" if track.write else ""]).encode()
        idle = self.idle[place]
        while idle and not idle[-1].open:
            idle.pop()
        try:
            if not idle and len(self.open) >= MOST_CONNECTIONS:
                raise OSError
            caller = idle.pop() if idle else Caller(self.loop, place, self)
        except OSError:
            self._final(client, "not sent")
            return
        self.open[caller] = None
        self.waiting += 1
        caller.ask(client, data)
        leave = self.played.clients.leave
        if leave and self.luck.random() < leave:
            number = client.number
            after = self.loop.now() + self.played.clients.after
            self.loop.at(after, lambda: self._leave(caller, number))

    def _leave(self, caller, number):
        """Its client gives up and closes the connection, if it has no answer yet."""
        if caller.asked is not None and caller.asked.number == number:
            caller.close()
            self._note("left", caller, number)
            self._over(caller)
            self._final(caller.last, "left")

    def _note(self, what, caller, *rest):
        now = self.loop.now() - self.loop.offset
        self.trace.append((what, now, self.places.index(caller.place), *rest))

    def _over(self, caller):
        caller.last, caller.asked = caller.asked, None
        self.waiting -= 1
        return caller.last

    def begun(self, caller):
        """The request is on its way to a balancer that has taken its connection."""
        client, now = caller.asked, self.loop.now() - self.loop.offset
        ends = now + self.played.clients.patience
        self._note("taken", caller, client.number, ends, self.played.track[client.kind].effect)

    def answered(self, caller, word, wait=0):
        if caller.asked is None:
            return
        client, now = self._over(caller), self.loop.now()
        if word == "lost":
            if self.deaths.get(caller.place, 0) >= client.sent - DIES_BEFORE:
                self._note("left", caller, client.number)  # nobody is there to answer it
        else:
            self._note("answered", caller, client.number, word)
        if word == "bounced":
            self.series.count((now - self.begin) // SECOND, "bounces")
        if word in ("handled", "scrapped") or client.tries <= 0 or now >= self.end:
            self._final(client, word)
            return
        clients = self.played.clients
        pause = clients.backoff * 2 ** (clients.tries - client.tries - 1)
        pause = 0 if self.storms and not client.heeds else max(wait, int(pause * (0.5 + self.luck.random())))
        self.loop.at(now + pause + MS, lambda: self._send(client))

    def _final(self, client, word):
        """The last try has ended."""
        took, track = self.loop.now() - client.due, self.played.track[client.kind]
        handled, in_time = word == "handled", word == "handled" and took <= track.promised
        self.series.result((client.due - self.begin) // SECOND, track.name, track.benefit, handled, in_time)
        time = max(LEAST_TIME, min(MOST_TIME, took // 1000))
        if handled:
            self.lately.record_value(time)
        if client.due - self.begin < self.played.load.settles:
            return
        self.words[word] += 1
        self.by_heed[client.heeds][0] += in_time
        self.by_heed[client.heeds][1] += 1
        self.worth += track.benefit
        due, ended = client.due - self.loop.offset, client.due + took - self.loop.offset
        self.finals.append(Final(due, ended, track.benefit, handled, in_time))
        if handled:
            self.times.record_value(time)
            self.gained += track.benefit * in_time

    def gone(self, caller):
        self.open.pop(caller, None)
        if caller in self.idle[caller.place]:
            self.idle[caller.place].remove(caller)

    # What stand-ins tell of the requests.

    def number_of(self, trace):
        """The try's number, of its id; None when it is none of this load's."""
        number, _, begin = trace[1:].partition("-")
        return int(number) if trace[:1] == "l" and begin == str(self.begin) and number.isdigit() else None

    def effect_of(self, number):
        return self.played.track[self.kinds[number - 1]].effect

    def run(self):
        """Until the last request is answered or its time is over."""
        last = self.end + AFTER
        while self.loop.running and not self.halted() and (now := self.loop.now()) < last:
            if now > self.end and not self.waiting:
                break
            self.loop.round(0.05)
        return self.finish()

    def finish(self):
        self.stopped = True
        for caller in list(self.open):
            if caller.asked is not None:
                client = self._over(caller)
                if not self.halted():  # else nobody has waited for its answer
                    self._final(client, "lost")
            caller.close()
        return self.report()

    def _in_time(self, heeds):
        done, every = self.by_heed[heeds]
        return round(done / every, 4) if every else None

    def report(self):
        count = sum(self.words.values())
        return {
            "requests": count, "earned": round(self.gained / self.worth, 4) if self.worth else 0.0,
            **{word: round(number / max(1, count), 4) for word, number in self.words.items()},
            **{f"p{p:g}_ms": self.times.get_value_at_percentile(p) / 1000 for p in (50, 99)},
            "in_time_heeding": self._in_time(True), "in_time_others": self._in_time(False),
            "generator_late_ms": round(self.late / 1e6, 3),
        }  # fmt: skip


def settings(played):
    """The scenario as a balancer's settings."""
    rules, clients = played.rules, played.clients
    return {
        "balancers": played.fleet.balancers, "discovery": "subscribe", "extra": {"originKind": 1},
        "kinds": ["box", "origin"], "failureDomains": [f"z{i}" for i in range(played.fleet.zones)],
        "limits": {"mostLegs": 4, "retryAfter": True, "maxRetryAfterUs": 2_000_000},
        "rules": {"startCapacity": rules.start, "warmWithinUs": rules.warm // 1000,
                  "fallMultiple": rules.multiple, "fallUs": rules.window // 1000},
        "tenants": [{"name": "load", "quotaPerS": 10 * played.load.rate}],
        "tracks": [{"name": kind.name, "effect": kind.effect, "promisedTimeUs": kind.promised // 1000,
                    "benefit": kind.benefit, "keyTtlUs": max(kind.remembered, clients.patience) // 1000}
                   for kind in played.track],
    }  # fmt: skip


class Balancers:
    """Balancer processes on loopback, for one run."""

    def __init__(self, fleet, played, folder):
        self.processes, self.places = [], []
        for i in range(played.fleet.balancers):
            path = Path(folder) / f"n{i}.json"
            path.write_text(json.dumps({
                "name": f"n{i}", "listen": "127.0.0.1:0", "seed": f"{i:x}",
                "discovery": fleet.discovery.place,
                "limits": {"sockets": 1024, "memory_mb": 192}, "known": fleet.discovery.whole(),
                "settings": settings(played) | {"myZone": i % played.fleet.zones},
            }))  # fmt: skip
            process = subprocess.Popen([sys.executable, "-B", "-m", "hopsail"], stderr=subprocess.PIPE,
                                       env=os.environ | {"NODE_CONFIG": str(path)}, text=True)  # fmt: skip
            self.processes.append(process)
            line = process.stderr.readline()
            if "listens on" not in line:
                raise LoadFault(f"a balancer did not start: {line.strip()}")
            self.places.append(loopback(line.split()[-1]))

    def close(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        ends = monotonic() + READY_WITHIN
        for process in self.processes:
            while process.poll() is None and monotonic() < ends:
                sleep(0.02)
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stderr.close()


def run(played, balancers=(), seed=1, script=(), rows=None, name=""):
    """Plays a scenario's load on sockets: against these addresses, or a fleet of its own.

    `script` holds (ns after the start, what to do with the fleet), for faults while it runs."""
    if balancers:
        load = Load(Loop(), played, [loopback(text) for text in balancers], seed)
        for trouble in played.trouble:
            if trouble.what in CLIENTS:  # the rest is not the clients' to do
                load.trouble(trouble)
        found = load.run()
        if rows is not None:
            made = [span for span in spans(played) if span.what in CLIENTS]
            write(rows, load.series, made, {"scenario": name, "policy": "balancers named", "seed": seed})
        return found
    loop = Loop()
    fleet = Fleet(loop, played, seed)
    with tempfile.TemporaryDirectory() as folder:
        started = None
        try:
            started = Balancers(fleet, played, folder)
            load = Load(loop, played, started.places, seed)
            for after, act in script:
                loop.at(load.begin + after, lambda act=act: act(fleet))
            found = load.run()
            asked = [host.asked_for for host in fleet.caches]
            spread = max(asked) * len(asked) / max(1, sum(asked))
            twice = len(fleet.origin.runs) - len(set(fleet.origin.runs))
            return found | {"fetches": fleet.origin.asked_for, "ran_twice": twice,
                            "most_to_mean": round(spread, 3)}  # fmt: skip
        finally:
            if started is not None:
                started.close()
            fleet.close()
            loop.close()
