"""Calls between control processes."""

from ..rpc.structs import Struct, binary, boolean, i32, spec, text

REPLICATE = "replicate"
COMMAND = "command"
READ = "read"


class ReplicaMessage(Struct):
    """One message of a shard's replicated log, one-way."""

    shard: int
    sender: str
    body: bytes  # `replication.messages`

    thrift_spec = spec(i32(1, "shard"), text(2, "sender"), binary(3, "body"))


class CommandCall(Struct):
    """Asks a shard's leader to carry a command out."""

    shard: int
    command: bytes  # `commands.Command`

    thrift_spec = spec(i32(1, "shard"), binary(2, "command"))


class CommandReply(Struct):
    """The result, if the one that was asked is the leader and knows it."""

    decided: bool
    result: bytes  # `commands.Result`, empty when not decided

    thrift_spec = spec(boolean(1, "decided"), binary(2, "result"))


class ReadCall(Struct):
    """Asks the leader of shard 0 for the newest configuration."""

    shard: int

    thrift_spec = spec(i32(1, "shard"))


class ReadReply(Struct):
    """The configuration as JSON, empty while there is none; not decided when the one asked does not lead."""

    decided: bool
    body: bytes

    thrift_spec = spec(boolean(1, "decided"), binary(2, "body"))
