"""Inputs of the roll-out of new weights, and the actions that its driver is to carry out."""

from typing import Literal, NamedTuple, TypedDict

from hopsail.configuration.process import Address
from hopsail.hosts.instance import Phase
from hopsail.weights.load import HostLoad


class HostInfo(NamedTuple):
    """One host of the model, with the revision that it was last known to have loaded.

    Two fields are hints on which host to begin with: `in_flight` counts its requests, and `loading` says that
    an earlier lease owner has announced a load that may still be in progress. Of the hosts of one `group`,
    which do the same work, at most half load at once.
    """

    identifier: str
    address: Address
    revision: int
    phase: Phase
    in_flight: int = 0
    loading: bool = False
    group: str = ""


class OrderBody(TypedDict):
    """Body of `POST /-/order` that brings a host to a revision."""

    OrderKind: Literal["Revision"]
    Model: str
    Revision: int
    Method: Literal["defer"]
    Owner: str
    FenceToken: int


class Announce(NamedTuple):
    """Announce the load of a host to the data planes."""

    host: str
    load: HostLoad


class SendOrder(NamedTuple):
    """Send an order; its result goes to `Rollout.receive_order_status` with the same serial."""

    host: str
    address: Address
    body: OrderBody
    serial: int


class RequestReport(NamedTuple):
    """Request `GET /-/report`; the response goes to `Rollout.receive_report` with the same serial."""

    host: str
    address: Address
    serial: int


Action = Announce | SendOrder | RequestReport


def order_body(model: str, revision: int, owner: str, fencing_token: int) -> OrderBody:
    """Return the body of an order that lets running requests finish first."""
    return {
        "OrderKind": "Revision",
        "Model": model,
        "Revision": revision,
        "Method": "defer",
        "Owner": owner,
        "FenceToken": fencing_token,
    }
