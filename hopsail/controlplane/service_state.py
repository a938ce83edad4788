"""The state of a shard that holds services and zones: named weights, duties of rolling them out, evacuations.

No I/O."""

import json
from collections.abc import Generator, Iterator
from typing import NamedTuple

from ..feed.evacuation import Evacuation
from .commands import Command, CommandKind, Result
from .evacuations import ORDER_KINDS, Evacuations

OK = 200


class SingletonRole(NamedTuple):
    """Who may send orders to the hosts of a service; the fence rises with each holder."""

    fencing_token: int
    owner: str
    released: bool
    previous_fencing_token: int  # of the last holder that was another one, 0 without one
    previous_owner: str


def _previous(known: SingletonRole | None, owner: str) -> tuple[int, str]:
    """Fence and owner of the last holder that is not `owner`."""
    if known is None:
        return 0, ""
    if known.owner == owner:
        return known.previous_fencing_token, known.previous_owner
    return known.fencing_token, known.owner


class ServiceState:
    """Revisions named for models, holders of duties by service, orders on zones."""

    def __init__(self):
        self.revisions: dict[str, int] = {}  # model -> the newest named
        self.roles: dict[str, SingletonRole] = {}  # service -> its roll-out's holder
        self.evacuations = Evacuations()

    def apply(self, index: int, command: Command) -> Result:
        """Carries the command of the log's entry `index` out."""
        if command.kind in ORDER_KINDS:
            return self.evacuations.apply(command)
        if command.kind is CommandKind.NAME_REVISION:
            newest = max(command.number, self.revisions.get(command.subject, 0))
            self.revisions[command.subject] = newest
            return Result(OK, value=newest)
        known = self.roles.get(command.subject)
        if command.kind is CommandKind.ACQUIRE_ROLE:
            self.roles[command.subject] = SingletonRole(
                index, command.owner, False, *_previous(known, command.owner)
            )
            return Result(OK, value=index)
        if known is not None and known.fencing_token == command.number:
            self.roles[command.subject] = known._replace(released=True)
        return Result(OK)

    def encode(self) -> bytes:
        """The whole state, for a snapshot."""
        tree = {"revisions": self.revisions, "duties": self.roles}
        if self.evacuations:  # without any the bytes are those of versions that knew none
            tree["evacuations"] = dict(self.evacuations)
        return json.dumps(tree).encode()

    def encode_steps(self) -> Iterator[bytes]:
        """The same, in one step: it is small."""
        yield self.encode()

    @classmethod
    def decode(cls, data: bytes) -> "ServiceState":
        state, tree = cls(), json.loads(data)
        state.revisions = tree["revisions"]
        state.roles = {service: SingletonRole(*duty) for service, duty in tree["duties"].items()}
        orders = tree.get("evacuations", {})
        state.evacuations = Evacuations({zone: Evacuation(*order) for zone, order in orders.items()})
        return state

    @classmethod
    def decoding(cls, data: bytes) -> Generator[None, None, "ServiceState"]:
        """`decode` as one step: the state is small."""
        yield from ()
        return cls.decode(data)
