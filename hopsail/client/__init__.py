"""A client for hopsail's balancers: synchronous, one deadline over all tries, waits when told to, and
never sends again what must not run twice. `docs/client.md` has how to use it."""

from .client import Client
from .errors import Deadline, Faulty, MayHaveRun, NeverRan, RefusedUntil, RequestFailed
from .plan import Effect

__all__ = [
    "Client",
    "Deadline",
    "Effect",
    "Faulty",
    "MayHaveRun",
    "NeverRan",
    "RefusedUntil",
    "RequestFailed",
]
