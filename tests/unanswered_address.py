"""An address on loopback whose handshakes hang, as those over a link that is cut."""

import socket

QUEUE_FILLERS = 4  # the system takes one or two beyond the backlog


class UnansweredAddress:
    """A listener whose queue of connections is full; the system drops the opening packets of further ones."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._sockets = [socket.socket() for _ in range(QUEUE_FILLERS + 1)]
        listener = self._sockets[0]
        listener.bind((host, 0))
        listener.listen(0)
        self.address = listener.getsockname()
        for filler in self._sockets[1:]:
            filler.setblocking(False)
            filler.connect_ex(self.address)

    def close(self) -> None:
        for one in self._sockets:
            one.close()
