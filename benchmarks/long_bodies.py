"""Peak memory of one balancer that passes on many long answers at once, one of them to a slow reader.

    python benchmarks/long_bodies.py [--transfers 64] [--megabytes 8] [--budget 32]

Starts the balancer as a process of its own, with one stand-in cache host and as many clients as transfers,
all on loopback; every byte is checked. Prints one line of JSON."""

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
from hashlib import blake2b
from pathlib import Path
from time import monotonic, sleep

from hopsail.config import FLOW_PART, PROGRAM_MEMORY
from hopsail.load.scripted import SETTINGS, at, instance, update

MB = 1 << 20
READ_PART, READ_PAUSE = 64 * 1024, 0.02  # the slow reader: about 3 MB a second
MOST_TRIES, RETRY_PAUSE = 100, 0.1  # of a client that is refused, and s in between
LONGEST = 120  # seconds for it all


def serve(listener, body, most):
    """A cache host that answers every request with the body, at most so many connections."""

    def answer(sock):
        with sock:
            seen = b""
            while b"\r\n\r\n" not in seen:
                if not (piece := sock.recv(65536)):
                    return
                seen += piece
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body))
            sock.sendall(body)

    for _ in range(most):
        threading.Thread(target=answer, args=(listener.accept()[0],), daemon=True).start()


def fetch(address, number, size, slow, results):
    """Asks until it is not refused; what came of the last try, and how many there were."""
    for tries in range(1, MOST_TRIES):
        status, got, digest = fetch_once(address, f"k{number}-{tries}".encode(), size, slow)
        results[number] = got, digest, tries
        if status != b"503":
            return
        sleep(RETRY_PAUSE)


def fetch_once(address, trace, size, slow):
    with socket.create_connection(address) as sock:
        sock.settimeout(LONGEST)
        sock.sendall(
            b"GET /read/%b HTTP/1.1\r\nX-Trace-Id: %b\r\nX-Customer: acme\r\nX-Expires-In: 60\r\n\r\n"
            % (trace, trace)
        )
        digest, got, head = blake2b(), 0, b""
        while got < size and (piece := sock.recv(READ_PART)):
            if b"\r\n\r\n" not in head:
                head += piece
                _, gap, piece = head.partition(b"\r\n\r\n")
                if not gap:
                    continue
                if not head.startswith(b"HTTP/1.1 200"):
                    return head[9:12], 0, b""
            digest.update(piece)
            got += len(piece)
            if slow:
                sleep(READ_PAUSE)
        return b"200", got, digest.digest()


def peak(pid):
    """The most resident memory of the process so far, MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


def main():
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--transfers", type=int, default=64)
    parser.add_argument("--megabytes", type=int, default=8)
    parser.add_argument("--budget", type=int, default=32, help="MB that all long bodies may hold together")
    options = parser.parse_args()
    body = os.urandom(options.megabytes * MB)
    host = socket.create_server(("127.0.0.1", 0), backlog=256)
    threading.Thread(target=serve, args=(host, body, 4 * options.transfers), daemon=True).start()
    settings = SETTINGS | {"tracks": [{"name": "read", "effect": "repeatable", "promisedTimeUs": 10e6}]}
    free = socket.create_server(("127.0.0.1", 0))
    address = free.getsockname()
    free.close()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps({
            "name": "n", "listen": f"{address[0]}:{address[1]}", "discovery": "127.0.0.1:9",
            "settings": settings,
            "limits": {"sockets": 1024, "memory_mb": PROGRAM_MEMORY + options.budget / FLOW_PART},
            "known": update(1, instance("h", at(host)), reset=True),
        }))  # fmt: skip
        environment = os.environ | {"NODE_CONFIG": str(path)}
        process = subprocess.Popen([sys.executable, "-B", "-m", "hopsail"], env=environment,
                                   stderr=subprocess.PIPE, text=True)  # fmt: skip
        try:
            process.stderr.readline()
            before, began, results = peak(process.pid), monotonic(), {}
            threads = [
                threading.Thread(target=fetch, args=(address, i, len(body), i == 0, results), daemon=True)
                for i in range(options.transfers)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(max(0.0, LONGEST - (monotonic() - began)))
            took, most = monotonic() - began, peak(process.pid)
        finally:
            process.kill()
            process.wait()
    whole = sum(got[:2] == (len(body), blake2b(body).digest()) for got in results.values())
    refused = sum(tries - 1 for *_, tries in results.values())
    print(json.dumps({
        "transfers": options.transfers, "megabytes": options.megabytes, "budget_mb": options.budget,
        "whole": whole, "refused": refused, "seconds": round(took, 2), "memory_before_mb": round(before, 1),
        "peak_memory_mb": round(most, 1),
    }))  # fmt: skip
    return 0 if whole == options.transfers else 1


if __name__ == "__main__":
    sys.exit(main())
