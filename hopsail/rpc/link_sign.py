"""What dials and connections show of the way to another process."""

from enum import Enum, auto


class LinkSign(Enum):
    """The newest sign on a channel."""

    NONE = auto()  # nothing is proven: no dial has ended yet, or a connection that had been up is silent
    ACCEPTED = auto()  # a handshake was completed: packets pass both ways, whether or not a process reads
    REFUSED = auto()  # the other machine has refused or ended the connection: it is there, the process isn't
    UNANSWERED = auto()  # several handshakes in a row had no answer from the other machine
