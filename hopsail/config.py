"""The one place where a balancer's configuration is read, checked and given defaults."""

import json
import os
import resource
import socket
import sys
from collections.abc import Mapping
from dataclasses import dataclass, replace
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from .model import MS, SECOND, Settings
from .net.discovery import ListFault, Names, address
from .storms import Rules
from .settings import Pairs, SettingsFault, check, decode, flatten

DEFAULT_SOCKETS = 1024  # descriptors, where no limit is stated
DEFAULT_MEMORY = 192  # MB, likewise
LEAST_SOCKETS = 32  # descriptors with which a balancer can serve at all
RESERVED_SOCKETS = 16  # descriptors for logs, the listener, signals, discovery and one client too many
MOST = 2**31  # of anything counted: also what JSON calls NaN or Infinity must not pass for a limit
ASKED_ONCE = 8  # of the descriptors one in so many for connections that were answered once and stay
PROGRAM_MEMORY = 24  # MB that the program itself takes, with its tables
RETRIEVAL_MEMORY = 0.2  # MB that one retrieval may hold: body, answer and their copies in buffers
LONGEST_LIMIT = 3 * SECOND  # for which the platform waits at most, and what holds where no limit is stated
FLOW_PART = 0.4  # of the memory beside the program is for long bodies on their way through


class ConfigFault(Exception):
    """The configuration cannot be used; the text names the key."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    settings: Settings
    tracks: dict[bytes, int]
    customers: dict[bytes, int]
    names: Names
    known: tuple  # version, scope and entries of the list as this balancer last had it
    most_clients: int
    most_asked_once: int
    most_host_connections: int
    most_open: int
    flow_bytes: int  # that all long bodies may hold together
    idle_time: int  # ns
    dial_time: int  # ns
    longest: int  # ns, the longest hard limit of a track: the platform ends a process that much after SIGTERM
    operator: tuple[str, int] | None  # the operators' door, where there is one
    listener: int | None  # descriptor of the clients' listening socket, where the platform holds it
    log_json: bool  # log lines are objects of JSON, not text
    folder: str | None  # outlives the process, where operators' orders need to
    view: Any = None  # rules of the fleet's own view (`peers.rules.Rules`), None = off


def read(environment: Mapping[str, str], again: bool = False, run: bool = False) -> Config:
    """The configuration from NODE_CONFIG's file; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY come first.

    `again`, upon SIGHUP, the file's discovery does: the variable is as old as the process. In a `run` a key
    of our own that holds what it cannot is left off, and said: the platform may have a key of that name,
    which must neither end the program nor turn anything on. `--check` refuses it, as it does any other."""
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigFault("NODE_CONFIG is not set: it names the configuration file")
    try:
        tree = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as fault:
        raise ConfigFault(f"NODE_CONFIG: cannot read {path}: {fault}") from None
    if not isinstance(tree, dict):
        raise ConfigFault(f"NODE_CONFIG: {path} holds no JSON object")
    for key in ("name", "listen", "discovery", "operator"):
        kept = (
            again and key == "discovery" and key in tree
        )  # else a reload would lead back to the old address
        if f"NODE_{key.upper()}" in environment and not kept:
            tree[key] = environment[f"NODE_{key.upper()}"]
    settings = part(tree, "settings", dict)
    try:
        pairs = flatten(settings)
        check(pairs)
        decoded, values = decode(pairs), Pairs(pairs)
        most_open = values.value("limits.maxOpen", int, "30000")
        idle_time = values.time("limits.idleCloseUs", "10000000")
        dial_time = values.time("limits.dialTimeoutUs", "250000")
        hard = [values.time(f"tracks.{i}.hardLimitUs", "3000000") for i in range(len(decoded.tracks))]
    except SettingsFault as fault:
        raise ConfigFault(f"settings: {fault}") from None
    own = left_off if run else lambda make: make()
    decoded = replace(decoded, storms=own(lambda: storms(tree, decoded)))
    names = Names(words(settings, "failureDomains"), words(settings, "kinds"), decoded.origin_kind)
    limits = part(tree, "limits", dict, {})
    sockets = whole(limits, "sockets", DEFAULT_SOCKETS, LEAST_SOCKETS)
    sockets = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - RESERVED_SOCKETS
    memory = whole(limits, "memory_mb", DEFAULT_MEMORY, PROGRAM_MEMORY + 1) - PROGRAM_MEMORY
    return Config(
        name=part(tree, "name", str),
        listen=place(tree, "listen", least=0),
        discovery=place(tree, "discovery"),
        seed=seed(tree),
        settings=decoded,
        tracks=named(settings, "tracks"),
        customers=named(settings, "tenants"),
        names=names,
        known=known(tree, names),
        # Each retrieval in hand holds a client's connection and, at most times, one to a cache host.
        most_clients=sockets // 2,
        most_asked_once=sockets // ASKED_ONCE,
        most_host_connections=sockets - sockets // 2,
        most_open=max(1, min(most_open, int((1 - FLOW_PART) * memory / RETRIEVAL_MEMORY))),
        flow_bytes=int(FLOW_PART * memory * 1_000_000),
        idle_time=max(SECOND, idle_time),
        dial_time=max(MS, dial_time),
        longest=min(LONGEST_LIMIT, max(hard, default=LONGEST_LIMIT)),
        operator=place(tree, "operator", least=0) if "operator" in tree else None,
        listener=inherited(environment),
        log_json=bool(own(lambda: word(tree, "log", {"plain": False, "json": True}, "plain"))),
        folder=environment.get("TMPDIR") if "operator" in tree else None,
        view=own(lambda: view(tree, environment)),
    )


# Those that one may have meant to change.
TOLD = ("name", "listen", "settings", "tracks", "customers", "operator", "view")
STAYS = (*TOLD, "seed", "names", "known", "listener", "folder")
SHARED = ("most_clients", "most_asked_once", "most_host_connections", "most_open", "flow_bytes")


def halved(config: Config) -> Config:
    """While two processes are one balancer: the limits on descriptors and memory are for both together."""
    return replace(config, **{key: max(1, getattr(config, key) // 2) for key in SHARED})


def renewed(old: Config, new: Config) -> tuple[Config, list[str]]:
    """The new configuration as far as a running process can take it over, and what it cannot."""
    kept = {key: getattr(old, key) for key in STAYS}
    if old.view and new.view:  # keys are changed in a running fleet, one process after the other
        kept["view"] = replace(old.view, keys=new.view.keys)
    return replace(new, **kept), [key for key in TOLD if getattr(new, key) != kept[key]]


def part(tree, key, kind, default=None):
    value = tree.get(key, default)
    if not isinstance(value, kind):
        raise ConfigFault(f"{key} is missing" if value is None else f"{key} holds {value!r:.80}")
    return value


def whole(tree, key, default, least):
    value = tree.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < MOST:
        raise ConfigFault(f"limits.{key} holds {value!r:.80}: a number of at least {least} is needed")
    return int(value)


def word(tree, key, known, default):
    value = tree.get(key, default)
    if not isinstance(value, str) or value not in known:
        raise ConfigFault(f"{key} holds {value!r:.80}: one of {', '.join(known)} is needed")
    return known[value]


def left_off(make):
    """What `make()` makes, None where the key that it reads is somebody else's or at fault."""
    try:
        return make()
    except ConfigFault as fault:
        print(f"hopsail: configuration: left off: {fault}", file=sys.stderr)
        return None


def storms(tree, decoded):
    """The rules of storm control, None where it is off or left out."""
    found = part(tree, "storms", dict, {})
    if unknown := found.keys() - {"control", "originPerS"}:
        raise ConfigFault(f"storms.{min(unknown)} is unknown; there are control and originPerS")
    control, origin = found.get("control", False), found.get("originPerS", 0)
    if not isinstance(control, bool):
        raise ConfigFault(f"storms.control holds {control!r:.80}: true or false is needed")
    if isinstance(origin, bool) or not isinstance(origin, int | float) or not 0 <= origin < MOST:
        raise ConfigFault(f"storms.originPerS holds {origin!r:.80}: a rate of at least 0 is needed")
    return Rules(decoded.advise_wait, float(origin)) if control else None


def view(tree, environment):
    """The rules of the fleet's view, None where it is off: only where it is on, anything of it is imported.

    The platform has a key `peers` of its own, a list of addresses: it turns nothing on."""
    if tree.get("view") is None:
        return None
    found = part(tree, "view", dict)
    from .swim.errors import InvalidSettingsError
    from .swim.settings import read_settings

    if find_spec("msgpack") is None:
        raise ConfigFault("view needs the library msgpack: pip install hopsail[peers]")
    try:
        return read_settings(found, part(tree, "name", str), environment.get("TMPDIR"), address)
    except InvalidSettingsError as fault:
        raise ConfigFault(str(fault)) from None


def words(settings, key):
    value = settings.get(key) or []
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigFault(f"settings.{key} holds {value!r:.80}: a list of names is needed")
    return value


def place(tree, key, least=1):
    try:
        return address(part(tree, key, str), least)
    except ValueError as fault:
        raise ConfigFault(f"{key}: {fault}") from None


def inherited(environment):
    """The descriptor of a listening TCP socket; closing or listening anew is its owner's business."""
    if (text := environment.get("NODE_SOCKET_FD")) is None:
        return None
    try:
        with socket.socket(fileno=os.dup(int(text))) as sock:
            kind, listens = sock.type, sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            if sock.family != socket.AF_INET or kind != socket.SOCK_STREAM or not listens:
                raise ValueError("this is no listening TCP socket")
    except (OSError, ValueError, OverflowError) as fault:
        raise ConfigFault(f"NODE_SOCKET_FD holds {text!r:.80}: {fault}") from None
    return int(text)


def seed(tree):
    text = tree.get("seed", "0")
    try:
        return int(str(text), 16)
    except ValueError:
        raise ConfigFault(f"seed holds {text!r:.80}, which is no hexadecimal number") from None


def named(settings, key):
    """Indices of the settings' tracks or customers by their names."""
    try:
        return {item["name"].encode(): i for i, item in enumerate(settings.get(key) or ())}
    except (KeyError, TypeError, AttributeError):
        raise ConfigFault(f"settings.{key}: each entry needs a name") from None


def known(tree, names):
    try:
        return names.update(tree.get("known") or {"generation": 0, "reset": True, "instances": []})
    except ListFault as fault:
        raise ConfigFault(f"known: {fault}") from None
