"""Long bodies on their way through: taken from one connection, given to another, with little held in between.

A body of up to 64 KiB is a value like any other. A longer one is a `Flow`: its source puts pieces in, its
sink takes them, and while the sink is slow the source is not read. One budget bounds what all of them hold.
"""

from .stream import CHUNK

LEAST_WINDOW, MOST_WINDOW = 16 * 1024, 512 * 1024  # bytes held for one flow, by how many there are
FLOW_BYTES = 4 * LEAST_WINDOW  # that one may hold with the least window: held, unsent, in the parser


class Flows:
    """How many there are, and how much each may hold."""

    def __init__(self, budget):
        self.budget, self.count = budget, 0

    @property
    def full(self):
        return (self.count + 1) * FLOW_BYTES > self.budget

    def window(self):
        share = self.budget // (4 * max(1, self.count))
        return max(LEAST_WINDOW, min(MOST_WINDOW, share))


class Flow:
    """One body. The source is a Stream with `abandoned()`, the sink one with `feed_ended(whole)`."""

    def __init__(self, flows, source, length):
        self.flows, self.source, self.sink = flows, source, None
        self.length = length  # as its message states it, None when it goes in chunks
        self.held = bytearray()
        self.came = 0  # bytes of it so far
        self.whole = False  # all of it has come
        self.spent = False  # some of it has been given away: no other sink can have it all
        self.over = False  # nothing goes through it any more
        flows.count += 1
        source.chunk = min(CHUNK, flows.window())

    def put(self, piece):
        if not self.over:
            self.came += len(piece)
            self.held += piece
            self._push()

    def end(self):
        """The source has given all."""
        if not self.over and not self.whole:
            self.whole = True
            self.source.pause(False)  # it has nothing more to be held up with, and must hear of its end
            self._push()

    def cut(self):
        """The source will give no more, and what came is not all."""
        if not self.over:
            self._close()
            if self.sink is not None:
                self.sink.feed_ended(False)

    def abandon(self):
        """Nobody wants the rest."""
        if not self.over:
            self._close()
            if not self.whole:
                self.source.abandoned()

    def attach(self, sink):
        self.sink, sink.feeder = sink, self
        self._push()

    def eased(self):
        """The sink has got rid of something."""
        if not self.over:
            self._push()

    def _push(self):
        window, sink = self.flows.window(), self.sink
        if sink is not None and self.held and len(sink.unsent) <= window // 2:
            piece, self.held = self.held, bytearray()
            self.spent = True
            sink.write(piece if self.length is not None else b"%x\r\n%b\r\n" % (len(piece), piece))
            if self.over or self.held:
                return  # what came of it has dealt with the rest
        if self.whole:
            if sink is not None and not self.held:
                self._close()
                sink.feed_ended(True)
                sink.write(b"" if self.length is not None else b"0\r\n\r\n")
        else:
            behind = len(self.held) + (len(sink.unsent) if sink is not None else 0)
            self.source.pause(behind > window)

    def _close(self):
        self.over = True
        self.held = bytearray()
        self.flows.count -= 1
        if self.sink is not None:
            self.sink.feeder = None
        self.source.chunk = CHUNK
