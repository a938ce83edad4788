"""What roll-outs and the reader of prefix caches, which call hosts, need of their control process."""

from collections.abc import Callable
from typing import Protocol

from ..configuration.process import ProcessSettings
from ..configuration.route_table import RouteTable
from ..feed.journal import Journal
from ..http.client import HttpClient
from ..net.counters import Counters
from ..net.loop import Loop
from .platform_list import PlatformList
from .shard import Shard


class HostCaller(Protocol):
    """The loop, the list of hosts and the state by which hosts are called."""

    loop: Loop
    settings: ProcessSettings
    journal: Journal
    http: HttpClient
    counters: Counters
    shards: list[Shard]
    platform: PlatformList
    table: RouteTable | None

    def after(self, milliseconds: float, act: Callable[[], None]) -> object:
        """Calls back once, so many ms from now."""
