"""Route table: the configuration as the data plane looks it up on each request. No I/O."""

from collections.abc import Iterable, Mapping, Sequence
from copy import copy
from itertools import chain
from typing import TypeVar

from hopsail.configuration.changes import TableChanges
from hopsail.configuration.sharded_map import ShardedMap
from hopsail.configuration.types import Configuration, Limits, Route, Service, Tenant

Value = TypeVar("Value")


class RouteTable:
    """Look-ups in one configuration; built in time linear in its items, changed in that of the change.

    A table is immutable: successive tables share what stays the same.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Create the table of a checked configuration."""
        self.revision: int = configuration["Revision"]
        self.limits: Limits = configuration.get("Limits") or {}
        self._routes = {route["Name"]: route for route in configuration["Routes"]}
        self._hosts = _routes_by_host(configuration["Routes"])
        self._longest_prefix = _longest_prefix(configuration["Routes"])
        self._weights = {route["Name"]: _weights(route) for route in configuration["Routes"]}
        self._set_services(configuration["Services"])
        tenants = configuration.get("Tenants") or ()
        self._tenants = ShardedMap((tenant["Name"], tenant) for tenant in tenants)
        self._tenants_by_key = ShardedMap(_tenants_by_key(tenants).items())
        self.needs_key: bool = bool(self._tenants)

    def with_changes(self, changes: TableChanges) -> "RouteTable":
        """Return the table after changes; this one stays as it is."""
        table = copy(self)
        table.revision, table.limits = changes.revision, changes.limits
        if changes.routes:
            table._change_routes(changes.routes)
        if changes.tenants:
            table._change_tenants(changes.tenants)
        if changes.services is not None:
            table._set_services(changes.services)
        return table

    def _set_services(self, services: Sequence[Service]) -> None:
        self._services = {service["Name"]: service for service in services}
        self._models = {name: _models(service) for name, service in self._services.items()}
        self.stores: tuple[Service, ...] = tuple(filter(_is_store, services))
        """All services that are stores."""

    def _change_routes(self, changes: Mapping[str, Route | None]) -> None:
        former = [self._routes[name] for name in changes if name in self._routes]
        present = [route for route in changes.values() if route is not None]
        self._routes = _with_changes(self._routes, changes)
        weights = {name: None if route is None else _weights(route) for name, route in changes.items()}
        self._weights = _with_changes(self._weights, weights)
        self._hosts = dict(self._hosts)
        for host in {route["Hostname"].lower() for route in chain(former, present)}:
            self._hosts[host] = dict(self._hosts.get(host, ()))
        for route in former:
            del self._hosts[route["Hostname"].lower()][route["PathPrefix"]]
        for route in present:
            self._hosts[route["Hostname"].lower()][route["PathPrefix"]] = route
        for route in former:
            host = route["Hostname"].lower()
            if not self._hosts.get(host, True):
                del self._hosts[host]
        self._renew_longest_prefix(former, present)

    def _renew_longest_prefix(self, former: Sequence[Route], present: Sequence[Route]) -> None:
        longest = _longest_prefix(present)
        if longest >= self._longest_prefix:
            self._longest_prefix = longest
        elif _longest_prefix(former) == self._longest_prefix:
            self._longest_prefix = _longest_prefix(self._routes.values())

    def _change_tenants(self, changes: Mapping[str, Tenant | None]) -> None:
        keys: dict[str, Tenant | None] = {}
        for name in changes:
            former = self._tenants.get(name)
            if former is not None:
                keys |= dict.fromkeys(former["ApiKeys"])
        keys |= _tenants_by_key(tenant for tenant in changes.values() if tenant is not None)
        self._tenants_by_key = self._tenants_by_key.with_changes(keys)
        self._tenants = self._tenants.with_changes(changes)
        self.needs_key = bool(self._tenants)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the longest matching prefix for a `Host` header and a request target."""
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host_name(host))
            if routes is None:
                return None
        query = path.find("?")
        end = len(path) if query < 0 else query
        end = min(end, self._longest_prefix)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def tenant(self, key: str) -> Tenant | None:
        """Return the tenant of an API key."""
        return self._tenants_by_key.get(key)

    def service(self, name: str) -> Service | None:
        """Return the service of a name."""
        return self._services.get(name)

    def services_of(self, route: Route) -> list[tuple[str, float]]:
        """Return names and weights, all above 0, of the services of a route; not to be changed."""
        return self._weights[route["Name"]]

    def store_for(self, zone: str | None = None) -> Service | None:
        """Return a service that is a store, one in the zone if there is any."""
        for store in self.stores:
            if store.get("Zone") == zone:
                return store
        return self.stores[0] if self.stores else None

    @property
    def service_names(self) -> Iterable[str]:
        """Names of all services."""
        return self._services.keys()

    def models_of(self, service: Service | str) -> tuple[str, ...]:
        """Return the names of the models that the hosts of a service run, given the service or its name."""
        name = service if isinstance(service, str) else service["Name"]
        return self._models.get(name, ())


def host_name(host: str) -> str:
    """Return a `Host` header in lower case and without its port."""
    name, _, port = host.rpartition(":")
    if name and not port.endswith("]"):
        return name.lower()
    return host.lower()


def _routes_by_host(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    hosts: dict[str, dict[str, Route]] = {}
    for route in routes:
        hosts.setdefault(route["Hostname"].lower(), {})[route["PathPrefix"]] = route
    return hosts


def _longest_prefix(routes: Iterable[Route]) -> int:
    return max((len(route["PathPrefix"]) for route in routes), default=0)


def _with_changes(items: Mapping[str, Value], changes: Mapping[str, Value | None]) -> dict[str, Value]:
    """Return a copy with changed values; None stands for a removed one."""
    changed = dict(items)
    for name, value in changes.items():
        if value is None:
            changed.pop(name, None)
        else:
            changed[name] = value
    return changed


def _weights(route: Route) -> list[tuple[str, float]]:
    splits = route.get("TrafficSplit")
    if not splits:
        return [(route["Service"], 1)]
    return [(split["Service"], split["Share"]) for split in splits if split["Share"] > 0]


def _models(service: Service) -> tuple[str, ...]:
    runtime = service.get("Runtime") or {}
    return tuple(model["Name"] for model in runtime.get("Models") or ())


def _is_store(service: Service) -> bool:
    return bool(service.get("StoreAddr"))


def _tenants_by_key(tenants: Iterable[Tenant]) -> dict[str, Tenant]:
    return {key: tenant for tenant in tenants for key in tenant["ApiKeys"]}
