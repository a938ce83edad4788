"""Messages of the interfaces in JSON; `openapi.json` has the same fields as schemas.

Fields not named here are stored and ignored. Fields ending in `Ms` are in milliseconds.
"""

from typing import NotRequired, TypedDict


class Split(TypedDict):
    """One service's weight in the traffic of a route."""

    Service: str
    Share: float


class Route(TypedDict):
    """Where requests of one host name and path prefix go; it has a `Service` or a `TrafficSplit`."""

    Name: str
    Hostname: str
    PathPrefix: str
    RouteKind: str
    DeadlineMs: float
    TargetMs: NotRequired[float]
    Priority: NotRequired[float]
    Service: NotRequired[str]
    TrafficSplit: NotRequired[list[Split]]
    MaxTries: NotRequired[float]
    Public: NotRequired[bool]
    Affine: NotRequired[bool]
    Resumable: NotRequired[bool]
    gap_aim_ms: NotRequired[float]


class ModelName(TypedDict):
    """A model that the hosts of a service run."""

    Name: str


class Runtime(TypedDict):
    """What the hosts of a service are: batch size, cache size in tokens, bytes a token, link in Mbit/s."""

    Capacity: NotRequired[float]
    CacheTokens: NotRequired[float]
    TokenBytes: NotRequired[float]
    LinkMbps: NotRequired[float]
    stride: NotRequired[float]
    MaxInflight: NotRequired[float]
    Models: NotRequired[list[ModelName]]


class Service(TypedDict):
    """A group of hosts or, with `StoreAddr` (IP:PORT), a store of cached prompt prefixes."""

    Name: str
    HealthPath: NotRequired[str]
    MaxConns: NotRequired[float]
    Protocol: NotRequired[str]
    TlsMode: NotRequired[bool]
    Runtime: NotRequired[Runtime]
    StoreAddr: NotRequired[str]
    Zone: NotRequired[str]
    CacheTokens: NotRequired[float]
    LinkMbps: NotRequired[float]
    MaxInflight: NotRequired[float]
    WarmupS: NotRequired[float]
    WarmupPerS: NotRequired[float]


class Limits(TypedDict):
    """What a client may send, and how long it may take or remain idle."""

    MaxHeaderBytes: NotRequired[float]
    MaxBodyBytes: NotRequired[float]
    HeaderWaitMs: NotRequired[float]
    IdleTimeoutMs: NotRequired[float]


class Tenant(TypedDict):
    """A customer and its keys; an `Isolated` one shares no cached prefix with any other."""

    Name: str
    ApiKeys: list[str]
    Priority: NotRequired[float]
    Isolated: NotRequired[bool]


class Configuration(TypedDict):
    """The operator's complete configuration."""

    Revision: int
    Routes: list[Route]
    Services: list[Service]
    Limits: NotRequired[Limits]
    Tenants: NotRequired[list[Tenant]]


class Upsert(TypedDict):
    """Items to add, or to replace by `Name`; `Limits` is replaced completely."""

    Routes: NotRequired[list[Route]]
    Services: NotRequired[list[Service]]
    Limits: NotRequired[Limits]
    Tenants: NotRequired[list[Tenant]]


class Remove(TypedDict):
    """Names of items to remove."""

    Routes: NotRequired[list[str]]
    Services: NotRequired[list[str]]
    Tenants: NotRequired[list[str]]


class Patch(TypedDict):
    """A change of named items of the current configuration."""

    Revision: int
    Upsert: NotRequired[Upsert]
    Remove: NotRequired[Remove]


class VersionPut(TypedDict):
    """The operator names new weights of a model."""

    Model: str
    Revision: int


class TallyAdd(TypedDict):
    """An add to a tally; the same identifier at one tally counts once."""

    InstanceId: str
    Actor: int


class TallyTotal(TypedDict):
    """What a tally has come to."""

    Total: int


class HostModel(TypedDict):
    """A model as a host runs it."""

    Name: str
    Revision: int
    Adapters: NotRequired[list[str]]


class HostReport(TypedDict):
    """A host's answer to `GET /-/report`; token counts in `CacheUsed` and `CacheTotal`."""

    PhaseKind: NotRequired[str]
    Models: NotRequired[list[HostModel]]
    Saturated: bool
    CallSeq: int
    Queued: int
    Active: int
    CacheUsed: int
    CacheTotal: int
    PrefixHandles: NotRequired[int]


class Order(TypedDict):
    """The body of `POST /-/order` at a host; `Expected` is the expected `CallSeq`."""

    OrderKind: str
    Owner: str
    FenceToken: int
    Expected: NotRequired[int]
    Model: NotRequired[str]
    Revision: NotRequired[int]
    Method: NotRequired[str]


class KvEvents(TypedDict):
    """The answer to `GET /-/kv-events`; an entry is [number, + or -, salt, ID, tokens, model]."""

    Incarnation: int
    NextToken: int
    Missing: bool
    EventLog: list[list]  # type: ignore[type-arg]  # as in the schema, which leaves the elements open


class KvList(TypedDict):
    """The answer to `GET /-/kv-list`; an entry is [salt, ID, tokens, model]."""

    Incarnation: int
    NextToken: int
    Retained: list[list]  # type: ignore[type-arg]  # as in the schema, which leaves the elements open


class Instance(TypedDict):
    """A host as the platform's list shows it."""

    InstanceId: str
    Service: str
    Address: str
    Zone: str
    Revision: str
    Capacity: int
    Phase: str
    WarmupLeftMs: NotRequired[float]
    PhaseKind: NotRequired[str]
    Models: NotRequired[list[HostModel]]


class InstancePage(TypedDict):
    """One page of the platform's list; `NextToken` is null on the last one."""

    Instances: list[Instance]
    NextToken: str | None
