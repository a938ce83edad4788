"""A model host as a process; its only argument is a JSON object of its options.

`framing`: chunked, or none (the answer ends with its connection). `events` of a stream, `gap_ms` between two; each event is
written in two halves, half of the gap apart. `reads_on_after_s`: it answers before it has read a body, and reads the rest that
late; without it, it reads the whole first. `works_ms`: of an answer that is no stream. SIGUSR1: it takes requests and answers
none of them from now on.
"""

import json
import signal
import socket
import sys
import threading
import time

GIVEN = {"framing": "chunked", "events": 16, "gap_ms": 250, "reads_on_after_s": None, "works_ms": 50} | json.loads(sys.argv[1])
INSTANCE, MODEL = GIVEN["instance"], GIVEN["model"]
LOCK = threading.Lock()
JOURNAL = open(GIVEN["journal"], "a", buffering=1, encoding="utf-8")
REPORT = {
    "PhaseKind": "prefill_decode", "Models": [{"Name": MODEL, "Revision": 1, "Adapters": []}], "Saturated": False,
    "CallSeq": 0, "Queued": 0, "Active": 0, "CacheUsed": 0, "CacheTotal": 140644, "PrefixHandles": 0,
}  # fmt: skip
state = {"runs": 0, "silent": False}


def note(**fields) -> None:
    with LOCK:
        JOURNAL.write(json.dumps({"at": time.monotonic(), **fields}) + "\n")


def respond(sock, status: int, body: bytes = b"", headers=()) -> None:
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}", f"Content-Length: {len(body)}", *headers]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Body:
    """What is still to come of a request's body."""

    def __init__(self, sock, left: int):
        self.sock, self.left = sock, left

    def read_some(self) -> None:
        data = self.sock.recv(min(self.left, 1 << 18))
        if not data:
            raise ConnectionError("the sender has closed the connection")
        self.left -= len(data)

    def read_all(self) -> None:
        while self.left:
            self.read_some()


def serve(sock) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                data = sock.recv(16384)
                if not data:
                    return
                buffer += data
            head, _, buffer = buffer.partition(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
            length = int(headers.get("content-length", "0"))
            body, buffer = Body(sock, length - len(buffer[:length])), buffer[length:]
            if not handle(sock, first.split(" ")[1], headers, body):
                return
    except OSError:
        pass
    finally:
        sock.close()


def handle(sock, target: str, headers: dict, body: Body) -> bool:
    """Whether the connection may carry more."""
    path = target.partition("?")[0]
    if path == "/-/report":
        respond(sock, 200, json.dumps(REPORT).encode())
    elif path == "/-/kv-events":
        time.sleep(min(1000, int(headers.get("wait-ms", "0"))) / 1000)
        respond(sock, 200, json.dumps({"Incarnation": 7, "NextToken": 1, "Missing": False, "EventLog": []}).encode())
    elif path == "/-/kv-list":
        respond(sock, 200, json.dumps({"Incarnation": 7, "NextToken": 1, "Retained": []}).encode())
    elif headers.get("hopsail-target-instance", INSTANCE) != INSTANCE:
        body.read_all()
        attempt = headers.get("hopsail-attempt-id", "")
        respond(sock, 421, headers=[f"Hopsail-Attempt-Id: {attempt}", "Hopsail-Not-Executed: 1"])
    else:
        return run(sock, target, headers, body)
    return True


def run(sock, target: str, headers: dict, body: Body) -> bool:
    attempt = headers["hopsail-attempt-id"]
    if GIVEN["reads_on_after_s"] is None:
        body.read_all()
    with LOCK:
        state["runs"] += 1
        number = state["runs"]
    note(attempt=attempt, run=number, what="begins", target=target)
    head = [f"Hopsail-Attempt-Id: {attempt}", f"Hopsail-Server-Seal: {INSTANCE}.{number}.{GIVEN['events']}", "Versions: 1"]
    if state["silent"]:
        sock.settimeout(int(headers["hopsail-deadline-ms"]) / 1000)
        sock.recv(1)
        return False
    if not target.startswith("/stream"):
        time.sleep(GIVEN["works_ms"] / 1000)
        respond(sock, 200, f"answer to {attempt}".encode(), head)
        note(attempt=attempt, run=number, what="ends")
        return True
    try:
        stream(sock, number, head, int(headers.get("last-event-id", "0")), body)
    except OSError as error:
        note(attempt=attempt, run=number, what="was broken off by the other side", unread=body.left, error=str(error))
        return False
    note(attempt=attempt, run=number, what="ends")
    return GIVEN["framing"] == "chunked"


def stream(sock, number: int, head: list[str], after: int, body: Body) -> None:
    is_chunked = GIVEN["framing"] == "chunked"
    framing = "Transfer-Encoding: chunked" if is_chunked else "Connection: close"
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *head, framing]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    began = time.monotonic()
    for position in range(after + 1, GIVEN["events"] + 1):
        event = f"id: {position}\ndata: piece {position} of run {INSTANCE}.{number}\n\n".encode()
        for half in (event[: len(event) // 2], event[len(event) // 2 :]):
            sock.sendall(b"%x\r\n%b\r\n" % (len(half), half) if is_chunked else half)
            pause(began, body)
    body.read_all()
    if is_chunked:
        sock.sendall(b"0\r\n\r\n")


def pause(began: float, body: Body) -> None:
    """Half of the gap, in which it reads on if it is time to."""
    until = time.monotonic() + GIVEN["gap_ms"] / 2000
    while time.monotonic() < until:
        if body.left and time.monotonic() - began >= (GIVEN["reads_on_after_s"] or 0):
            body.read_some()
        else:
            time.sleep(0.002)


def fall_silent(*_) -> None:
    state["silent"] = True


signal.signal(signal.SIGUSR1, fall_silent)
listener = socket.create_server((GIVEN["ip"], GIVEN["port"]), backlog=512)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
