"""A balancer on its own loop, turned by hand, with peers that say what a test wants them to say.

The stand-ins of `standins.py` serve by themselves; here each word of hosts, discovery and clients is said by
the caller, so that every order of events can be made, with the balancer's clock put forward where need be."""

import json
import socket
from time import monotonic

from ..__main__ import Node
from ..model import SECOND

SETTINGS = {
    "balancers": 1,
    "discovery": "subscribe",
    "extra": {"originKind": 1},
    "kinds": ["box", "origin"],
    "failureDomains": ["east"],
    "limits": {"mostLegs": 4, "retryAfter": True, "maxRetryAfterUs": 2000000, "dialTimeoutUs": 250000},
    "rules": {"startCapacity": 0.3, "warmWithinUs": 8000000, "fallMultiple": 2.5, "fallUs": 1000000},
    "tenants": [{"name": "acme", "quotaPerS": 1000.0}],
    "tracks": [
        {"name": "read", "effect": "repeatable", "promisedTimeUs": 1000000},
        {"name": "note", "effect": "by_key", "group": "cell", "promisedTimeUs": 1000000, "keyTtlUs": 5000000},
        {"name": "once", "effect": "once", "promisedTimeUs": 1000000},
    ],
}


def listener(backlog=16):
    sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    sock.setblocking(False)
    return sock


def stuck():
    """A listener whose queue is full: further connections to it never come up."""
    sock = listener(0)
    fill = socket.create_connection(sock.getsockname())
    return sock, fill


def reset(sock):
    """Ends a connection so that the other side is told of a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def at(sock):
    return "{}:{}".format(*sock.getsockname())


def instance(name, place, kind="box", state="in_service", started=0, zone="east"):
    """An entry of discovery's list."""
    return {"instanceId": name, "hostPort": place, "zone": zone, "machineType": kind, "cell": 0,
            "lifecycle": state, "weight": 1.0, "startedAtMs": started}  # fmt: skip


def update(generation, *entries, reset=False):
    return {"generation": generation, "reset": reset, "instances": list(entries)}


def message(line, body=b"", **headers):
    lines = [line] + [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""]).encode() + body


class Rig:
    """One balancer on its own loop, turned by hand; the test plays clients, hosts and discovery by turns."""

    def __init__(self, path, hosts=2, environment=None, **more):
        self.hosts = [listener() for _ in range(hosts)]
        self.origin, self.discovery = listener(), listener()
        entries = [instance(f"h{i}", at(sock)) for i, sock in enumerate(self.hosts)]
        tree = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": at(self.discovery), "seed": "a2",
            "limits": {"sockets": 256, "memory_mb": 192}, "settings": SETTINGS,
            "known": update(7, *entries, instance("o", at(self.origin), "origin"), reset=True),
        } | more  # fmt: skip
        self.path, self.tree, self.asked = path, tree, 0
        path.write_text(json.dumps(tree))
        self.environment = {"NODE_CONFIG": str(path), "NODE_DISCOVERY": tree["discovery"]}
        self.node = Node(self.environment | (environment or {}))
        self.nodes = [self.node]  # all whose loops are turned
        self.loop, self.counts = self.node.loop, self.node.counters.counts
        self.open = [*self.hosts, self.origin, self.discovery]

    def close(self):
        for node in self.nodes:
            node.close()
        for sock in self.open:
            sock.close()

    def until(self, found):
        """Turns the loop until `found()` is something; what it is."""
        last = monotonic() + 4  # less than any limit of the balancer that would hide a fault
        while (result := found()) is None or result is False:
            assert monotonic() < last, "nothing came"
            for node in self.nodes:
                node.loop.round(0.005 / len(self.nodes))
        return result

    def skip(self, seconds):
        """Lets the balancer's clock run ahead."""
        for node in self.nodes:
            node.loop.offset += int(seconds * SECOND)
            node.loop.round(0)

    def client(self, data=b""):
        sock = socket.create_connection(self.node.listener.address)
        sock.sendall(data)
        sock.setblocking(False)
        self.open.append(sock)
        return sock

    def ask(self, target="/read/k1", method="GET", body=b"", **headers):
        self.asked += 1
        headers = {"X_Trace_Id": f"t{self.asked}", "X_Customer": "acme", "X_Expires_In": "2.000"} | headers
        return self.client(message(f"{method} {target} HTTP/1.1", body, **headers))

    def read(self, sock):
        """The next whole message on the connection, b"" when it ended instead."""
        data = bytearray()

        def whole():
            try:
                piece = sock.recv(1 << 17)
            except BlockingIOError:
                return None
            except ConnectionResetError:
                piece = b""
            data.extend(piece)
            head, gap, body = bytes(data).partition(b"\r\n\r\n")
            length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length: ")]
            if gap and len(body) >= (int(length[0].split()[1]) if length else 0):
                return bytes(data)
            return None if piece else b""

        return self.until(whole)

    def waiting(self, *listeners):
        """A connection that waits at each of the listeners, where there is one."""
        for sock in listeners:
            try:
                taken = sock.accept()[0]
            except BlockingIOError:
                continue
            taken.setblocking(False)
            self.open.append(taken)
            yield taken

    def accept(self, *listeners):
        """The next connection to one of the listeners."""
        return self.until(lambda: next(self.waiting(*listeners), None))

    def leg(self):
        """The next leg on a new connection to any cache host, and its request."""
        sock = self.accept(*self.hosts)
        return sock, self.read(sock)

    def served(self):
        """A client whose read a host has answered, and the host's side of that connection."""
        client = self.ask()
        host, _ = self.leg()
        host.sendall(reply(200))
        assert self.status(client) == 200
        return client, host

    def missed(self, **headers):
        """A client whose read a host lacked, the host's side, and the origin's, which was asked next."""
        client = self.ask(**headers)
        host, _ = self.leg()
        host.sendall(reply(404))
        origin = self.accept(self.origin)
        self.read(origin)
        return client, host, origin

    def status(self, client):
        return int((self.read(client) or b"HTTP/1.1 0").split()[1])

    def ended(self, sock):
        """Whether the balancer has ended the connection with nothing sent."""
        return self.read(sock) == b""


def reply(status=200, body=b"value", **headers):
    return message(f"HTTP/1.1 {status} X", body, **headers)
