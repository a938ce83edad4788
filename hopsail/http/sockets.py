"""Options of sockets that both sides of the HTTP code set."""

import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s


def reset_at_close(sock: socket.socket) -> None:
    """Makes the socket's close a reset: what has not been sent is dropped."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
