"""Discovery: the watch on the list of cache hosts, and its entries as the module takes them."""

import json

import httptools

from ..standing import number
from ..model import MS, SECOND, Listing, Scope, State
from .log import say
from .messages import authority
from .stream import Stream, dial

# An empty line comes every 2 s. What a watch has to tell counts as told after 6 s, and must be acted on.
SILENCE = 4500 * MS  # with nothing heard: the watch has stalled
DIAL_TIME = SECOND  # for the connection to come up
MOST_WEIGHT = 1e6  # times the common size: beyond it a listed size is no size
MOST_LINE = 4 * 1024 * 1024  # bytes of one line: some ten thousand hosts
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


class Names:
    """Indices of the settings' names; one that they lack gets the next free number."""

    def __init__(self, zones, kinds, origin_kind):
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)} | {"origin": origin_kind}

    def listing(self, entry):
        """An entry of discovery's list and the address of its host."""
        try:
            state = STATES[entry["lifecycle"]]
            listing = Listing(
                number(entry["instanceId"].encode()),
                self.zones.setdefault(entry.get("zone"), len(self.zones)),
                self.kinds.setdefault(entry.get("machineType"), len(self.kinds) + 1),
                entry.get("cell") or 0,
                state,
                size(entry.get("weight")),
                int(entry.get("startedAtMs") or 0) * MS,
            )
            return listing, address(entry["hostPort"]) if state is not State.GONE else None
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ListFault(f"an entry cannot be read: {type(fault).__name__} {fault}") from None

    def update(self, tree):
        """A whole update: its version, its scope, and its entries with their addresses."""
        try:
            version, scope = int(tree["generation"]), Scope.WHOLE if tree["reset"] else Scope.CHANGES
            entries = list(tree["instances"])
        except (KeyError, TypeError, ValueError) as fault:
            raise ListFault(f"not a list: {type(fault).__name__} {fault}") from None
        read = []
        for entry in entries:
            try:
                read.append(self.listing(entry))
            except ListFault as fault:  # one bad entry must not keep the others from being heard
                say("discovery", str(fault))
        if entries and not read:
            raise ListFault("no entry can be read")  # a fleet must not be taken for gone over its spelling
        return version, scope, read


class Watch(Stream):
    """One call that stays open and brings a JSON object a line; its end, however it comes, is a failure."""

    def __init__(self, loop, sock, discovery):
        self.discovery, self.parser, self.line = discovery, httptools.HttpResponseParser(self), bytearray()
        self.timer, self.heard = None, loop.now()
        super().__init__(loop, sock, dialing=True)
        self._wait(DIAL_TIME)

    def _wait(self, span):
        self.timer = self.loop.at(self.heard + span, self._silent)

    def _silent(self):
        # Set anew only when it runs out: lines need not touch the heap.
        if self.dialing or self.loop.now() - self.heard >= SILENCE:
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
        self.heard = self.loop.now()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            say("discovery", f"the watch broke: {type(fault.__context__ or fault).__name__}")
            self._end()

    def on_headers_complete(self):
        if (status := self.parser.get_status_code()) != 200:
            raise ListFault(f"status {status}")

    def on_body(self, piece):
        self.line += piece
        while (at := self.line.find(b"\n")) >= 0:
            line = bytes(self.line[:at])
            del self.line[: at + 1]
            if line.strip():
                self.discovery.told(json.loads(line))
        if len(self.line) > MOST_LINE:
            raise ListFault("a line without end")

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
        self.watch = None
        self.counters.add("discovery.failed")
        self.tell(Scope.FAILED, [])
