"""Discovery: the watch on the list of cache hosts, and its entries as the module takes them."""

import json
import re

import httptools

from ..standing import number
from ..model import MS, SECOND, Listing, Scope, State
from .log import say
from .loop import FIRST
from .messages import authority
from .stream import Stream, dial

# An empty line comes every 2 s. What a watch misses counts as told 6 s after it fell silent, and must be
# acted on: after 3 s with no line ended it has stalled, 1 s is for a new one to come up and answer, and over
# 2 s all balancers' calls are spread (tables.SILENT_PAUSE). A watch of which only the answer's head or half
# an object has come is no better than a silent one: only a whole line, empty or not, is a sign of life.
SILENCE = 3 * SECOND
DIAL_TIME = SECOND
MOST_WEIGHT = 1e6  # times the common size: beyond it a listed size is no size
MOST_OBJECT = 4 * 1024 * 1024  # bytes of one object, and of what stands around it: some ten thousand hosts
MOST_NAMES = 1000  # zones, and kinds, that the list may bring beyond the settings' own: a table with a bound
# What opens and closes objects, and what hides it: strings, and in them what is escaped.
TURNS = re.compile(rb'["{}\[\]]')
IN_STRING = re.compile(rb'["\\]')
STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}


class ListFault(ValueError):
    """What came is not a list of cache hosts."""


def size(weight) -> float:
    """A listed weight; 0, which is no size, for a slip: the host can be used all the same."""
    try:
        value = float(weight or 0)
    except (TypeError, ValueError, OverflowError):
        return 0.0
    return value if 0 <= value < MOST_WEIGHT else 0.0


def address(text, least=1):
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not least <= int(port) < 65536:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


class Objects:
    """Finds the JSON objects in what comes in pieces of any size, with any white space in and between them.

    Each byte is looked at once: a list of many lines must not be read anew with each of them."""

    def __init__(self):
        self.held, self.at, self.depth, self.quoted = bytearray(), 0, 0, False

    def feed(self, piece):
        """The objects that `piece` completes, in order; ListFault when what came is none."""
        self.held += piece
        while found := (IN_STRING if self.quoted else TURNS).search(self.held, self.at):
            mark, self.at = found[0], found.end()
            if mark == b"\\":
                self.at += 1  # what is escaped; it may be in the next piece
            elif mark == b'"':
                self.quoted = not self.quoted
            else:
                self.depth += 1 if mark in b"{[" else -1
                if self.depth < 0:
                    raise ListFault("an end with no beginning")
                if not self.depth:
                    whole, self.at, self.depth = bytes(self.held[: self.at]), 0, 0
                    del self.held[: len(whole)]
                    yield whole
        self.at = max(self.at, len(self.held))
        if not self.depth:
            if self.held.strip():
                raise ListFault("neither an object nor white space")
            self.held, self.at = bytearray(), 0
        elif len(self.held) > MOST_OBJECT:
            raise ListFault("an object without end")


class Names:
    """Indices of the settings' names; one that they lack gets the next free number."""

    def __init__(self, zones, kinds, origin_kind):
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)} | {"origin": origin_kind}
        self.most = max(len(self.zones), len(self.kinds)) + MOST_NAMES

    def listing(self, entry):
        """An entry of discovery's list and the address of its host."""
        try:
            state = STATES[entry["lifecycle"]]
            listing = Listing(
                number(entry["instanceId"].encode()),
                self._index(self.zones, entry.get("zone"), 0),
                self._index(self.kinds, entry.get("machineType"), 1),
                entry.get("cell") or 0,
                state,
                size(entry.get("weight")),
                int(entry.get("startedAtMs") or 0) * MS,
            )
            return listing, address(entry["hostPort"]) if state is not State.GONE else None
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ListFault(f"an entry cannot be read: {type(fault).__name__} {fault}") from None

    def _index(self, names, name, above):
        """The number of a zone or a kind; those beyond the bound, which a slip brings, share the last."""
        if (known := names.get(name)) is not None:
            return known
        if len(names) >= self.most:
            return self.most + above
        return names.setdefault(name, len(names) + above)

    def unread(self, entry):
        """What is still heard of an entry that cannot be read, if it says whom it tells of: that host drains,
        until an entry that can be read says otherwise. Passed over, a drain would be lost for good, since the
        version goes on."""
        try:
            name = number(entry["instanceId"].encode())
        except (KeyError, TypeError, AttributeError, ValueError):
            return None
        return Listing(name, 0, None, 0, State.DRAINING, 0.0, 0), None

    def update(self, tree):
        """A whole update: its version, its scope, and its entries with their addresses (None: not told)."""
        try:
            version, scope = int(tree["generation"]), Scope.WHOLE if tree["reset"] else Scope.CHANGES
            entries = list(tree["instances"])
        except (KeyError, TypeError, ValueError) as fault:
            raise ListFault(f"not a list: {type(fault).__name__} {fault}") from None
        read, spoilt = [], []
        for entry in entries:
            try:
                read.append(self.listing(entry))
            except ListFault as fault:  # one bad entry must not keep the others from being heard
                say("discovery", str(fault))
                spoilt.append(self.unread(entry))
        if entries and not read:
            raise ListFault("no entry can be read")  # a fleet must not be taken for gone over its spelling
        return version, scope, read + [entry for entry in spoilt if entry is not None]


class Watch(Stream):
    """One call that stays open and brings JSON objects; its end, however it comes, is a failure."""

    rank = FIRST

    def __init__(self, loop, sock, discovery):
        self.discovery, self.parser, self.objects = discovery, httptools.HttpResponseParser(self), Objects()
        self.timer, self.heard, self.silent = None, loop.now(), False
        super().__init__(loop, sock, dialing=True)
        self._wait(DIAL_TIME)

    def _wait(self, span):
        self.timer = self.loop.at(self.heard + span, self._silent)

    def _silent(self):
        # Set anew only when it runs out: lines need not touch the heap.
        self.silent = not self.dialing and self.loop.now() - self.heard >= SILENCE
        if self.dialing or self.silent:
            self._end()
        else:
            self._wait(SILENCE)

    def connected(self):
        self.heard = self.loop.now()
        path = b"/v1/servers?follow=1&since=%d" % self.discovery.version
        self.timer.cancel()
        self._wait(SILENCE)
        self.write(b"GET " + path + b" HTTP/1.1\r\nHost: " + authority(self.discovery.address) + b"\r\n\r\n")

    def received(self, data):
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            say("discovery", f"the watch broke: {type(fault.__context__ or fault).__name__}")
            self._end()

    def on_headers_complete(self):
        if (status := self.parser.get_status_code()) != 200:
            raise ListFault(f"status {status}")

    def on_body(self, piece):
        # Half a line is no sign of life: what trickles in, or stops in an object's midst, tells nothing.
        if b"\n" in piece:
            self.heard = self.loop.now()
        for found in self.objects.feed(piece):
            self.discovery.told(json.loads(found))

    def on_message_complete(self):
        self.loop.soon(self._end)

    def ended(self):
        self.discovery.failed(self)

    def released(self):
        if self.timer:
            self.timer.cancel()


class Discovery:
    """Keeps at most one watch; `tell(scope, entries)` hands on what it brings, or that it failed."""

    def __init__(self, loop, counters, address, names, version, tell):
        self.loop, self.counters, self.address, self.names = loop, counters, address, names
        self.version, self.tell, self.watch = version, tell, None
        self.fresh = False  # something has been heard since the start: the list is no older than the process
        self.tried = False  # a call has ended with nothing: whoever waits for it may wait long

    def ask(self):
        if self.watch is not None:
            return
        self.counters.add("discovery.asked")
        try:
            self.watch = Watch(self.loop, dial(self.address), self)
        except OSError:
            self.loop.soon(self.failed)

    def move(self, address):
        """Another address from now on: the watch on the old one may stay open and tell nothing more."""
        if address != self.address:
            self.address = address
            self.close()
            self.ask()

    def close(self):
        if self.watch is not None:
            self.watch.close()
            self.watch = None

    def told(self, tree):
        self.version, scope, entries = self.names.update(tree)
        self.counters.add("discovery.updates")
        self.fresh = True
        self.tell(scope, entries)

    def failed(self, watch=None):
        if watch is not self.watch:
            return  # told late: another one has been begun since
        self.watch, self.tried = None, True
        self.counters.add("discovery.failed")
        self.tell(Scope.SILENT if watch is not None and watch.silent else Scope.FAILED, [])
