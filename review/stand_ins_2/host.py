"""A model host as a process; its only argument is a JSON object of its options.

`framing`: chunked, or none (a stream ends with its connection). `events` of a stream, `gap_ms` between two;
each event is written in two halves, half of the gap apart. `works_ms`: of an answer that is no stream.
"""

import json
import socket
import sys
import threading
import time
from collections.abc import Iterable
from pathlib import Path

DEFAULTS = {"framing": "chunked", "events": 16, "gap_ms": 250, "works_ms": 50}
GIVEN = DEFAULTS | json.loads(sys.argv[1])
INSTANCE = GIVEN["instance"]
JOURNAL = Path(GIVEN["journal"])
LOCK = threading.Lock()
REPORT = {
    "PhaseKind": "prefill_decode",
    "Models": [{"Name": GIVEN["model"], "Revision": 1, "Adapters": []}],
    "Saturated": False,
    "CallSeq": 0,
    "Queued": 0,
    "Active": 0,
    "CacheUsed": 0,
    "CacheTotal": 140644,
    "PrefixHandles": 0,
}
EVENTS = {"Incarnation": 7, "NextToken": 1, "Missing": False, "EventLog": []}
LISTED = {"Incarnation": 7, "NextToken": 1, "Retained": []}
runs = 0


def note(**fields: object) -> None:
    """Write a line of the journal."""
    line = json.dumps({"at": time.monotonic(), **fields}) + "\n"
    with LOCK, JOURNAL.open("a", encoding="utf-8") as journal:
        journal.write(line)


def respond(sock: socket.socket, status: int, body: bytes = b"", headers: Iterable[str] = ()) -> None:
    """Send a whole answer."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}", f"Content-Length: {len(body)}", *headers]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def read_head(sock: socket.socket, buffer: bytes) -> tuple[bytes, bytes]:
    """Read up to the end of a head; give it and what came after it."""
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(16384)
        if not data:
            raise ConnectionError("closed")
        buffer += data
    head, _, rest = buffer.partition(b"\r\n\r\n")
    return head, rest


def skip_body(sock: socket.socket, rest: bytes, length: int) -> bytes:
    """Read a body, which nobody looks at; give what came after it."""
    left = length - len(rest)
    while left > 0:
        data = sock.recv(min(left, 1 << 18))
        if not data:
            raise ConnectionError("closed")
        left -= len(data)
    return rest[length:]


def serve(sock: socket.socket) -> None:
    """Answer the requests of a connection, one after the other."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    buffer = b""
    try:
        while True:
            head, rest = read_head(sock, buffer)
            first, *lines = head.decode("latin-1").split("\r\n")
            named = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in named}
            buffer = skip_body(sock, rest, int(headers.get("content-length", "0")))
            if not handle(sock, first.split(" ")[1], headers):
                return
    except OSError:
        return
    finally:
        sock.close()


def handle(sock: socket.socket, target: str, headers: dict[str, str]) -> bool:
    """Answer one request; whether the connection may carry more."""
    path = target.partition("?")[0]
    if path == "/-/report":
        respond(sock, 200, json.dumps(REPORT).encode())
    elif path == "/-/kv-events":
        time.sleep(min(1000, int(headers.get("wait-ms", "0"))) / 1000)
        respond(sock, 200, json.dumps(EVENTS).encode())
    elif path == "/-/kv-list":
        respond(sock, 200, json.dumps(LISTED).encode())
    elif headers.get("hopsail-target-instance", INSTANCE) != INSTANCE:
        attempt = headers.get("hopsail-attempt-id", "")
        respond(sock, 421, headers=[f"Hopsail-Attempt-Id: {attempt}", "Hopsail-Not-Executed: 1"])
    else:
        return run(sock, target, headers)
    return True


def run(sock: socket.socket, target: str, headers: dict[str, str]) -> bool:
    """Run a client's request; whether the connection may carry more."""
    global runs
    with LOCK:
        runs += 1
        number = runs
    attempt = headers["hopsail-attempt-id"]
    note(attempt=attempt, run=number, what="begins", target=target)
    seal = f"Hopsail-Server-Seal: {INSTANCE}.{number}.{GIVEN['events']}"
    head = [f"Hopsail-Attempt-Id: {attempt}", seal, "Versions: 1"]
    if target.startswith("/stream"):
        stream(sock, number, head, int(headers.get("last-event-id", "0")))
    else:
        time.sleep(GIVEN["works_ms"] / 1000)
        respond(sock, 200, f"answer to {attempt}".encode(), head)
    note(attempt=attempt, run=number, what="ends")
    return not target.startswith("/stream") or GIVEN["framing"] == "chunked"


def stream(sock: socket.socket, number: int, head: list[str], after: int) -> None:
    """Send the events after that number."""
    is_chunked = GIVEN["framing"] == "chunked"
    framing = "Transfer-Encoding: chunked" if is_chunked else "Connection: close"
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *head, framing]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    for position in range(after + 1, GIVEN["events"] + 1):
        event = f"id: {position}\ndata: piece {position} of run {INSTANCE}.{number}\n\n".encode()
        for half in (event[: len(event) // 2], event[len(event) // 2 :]):
            sock.sendall(b"%x\r\n%b\r\n" % (len(half), half) if is_chunked else half)
            time.sleep(GIVEN["gap_ms"] / 2000)
    if is_chunked:
        sock.sendall(b"0\r\n\r\n")


def main() -> None:
    """Listen until the process is ended."""
    listener = socket.create_server((GIVEN["ip"], GIVEN["port"]), backlog=512)
    while True:
        accepted, _ = listener.accept()
        threading.Thread(target=serve, args=(accepted,), daemon=True).start()


main()
