"""What replicas of tallies exchange and store, as thrift structs.

An origin is one incarnation of a replica. The adds that it has accepted are numbered from 1. Every replica
holds an unbroken run of them from the first on, so that a position for each origin tells all that it holds.
"""

from ..rpc.structs import Struct, boolean, i64, spec, structs, text

PUSH = "tally_push"  # the methods' names
EXCHANGE = "tally_exchange"


class AddRecord(Struct):
    """One add: by how much a tally grows, and the caller's identifier of the add."""

    tally: str
    identifier: str
    amount: int

    thrift_spec = spec(text(1, "tally"), text(2, "identifier"), i64(3, "amount"))


class OriginRun(Struct):
    """Adds of one origin, in order, the first of them numbered `first_sequence`."""

    origin: str
    first_sequence: int
    adds: list[AddRecord]

    thrift_spec = spec(text(1, "origin"), i64(2, "first_sequence"), structs(3, "adds", AddRecord))


class Position(Struct):
    """The number of the last add of an origin that a replica holds."""

    origin: str
    sequence: int

    thrift_spec = spec(text(1, "origin"), i64(2, "sequence"))


class PushCall(Struct):
    """Adds for the replica that is called; the reply comes once they are synced to its disk."""

    runs: list[OriginRun]

    thrift_spec = spec(structs(1, "runs", OriginRun))


class PushReply(Struct):
    """What the replica holds now, and how much of that is on its disk."""

    known: list[Position]
    durable: list[Position]
    origin: str  # that of the replica that replies

    thrift_spec = spec(structs(1, "known", Position), structs(2, "durable", Position), text(3, "origin"))


class ExchangeCall(Struct):
    """Asks for what the caller lacks, whose positions these are."""

    known: list[Position]

    thrift_spec = spec(structs(1, "known", Position))


class ExchangeReply(Struct):
    """Adds that the caller lacks, as many as fit, and the positions of the replica that was called."""

    runs: list[OriginRun]
    known: list[Position]
    durable: list[Position]
    origin: str  # that of the replica that replies
    intact: bool  # it holds all that it has ever confirmed: its disk was kept, or it has caught up since

    thrift_spec = spec(
        structs(1, "runs", OriginRun),
        structs(2, "known", Position),
        structs(3, "durable", Position),
        text(4, "origin"),
        boolean(5, "intact", default=True),
    )


class StoredRuns(Struct):
    """One write to the disk, or with all runs the whole state."""

    runs: list[OriginRun]
    catching_up: bool  # the process had lost its disk, and did not yet hold what others held

    thrift_spec = spec(structs(1, "runs", OriginRun), boolean(2, "catching_up"))
