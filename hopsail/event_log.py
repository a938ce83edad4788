"""Loggers of the router fleet's programs: lines on events, by topic, with values as arguments.

A module makes one logger for each topic of its lines:

    log = get_logger("configuration")
    log.info("revision %s in force", revision)
    log.warning("lease lost", role="orders", fencing_token=7)

The lines are `hopsail: configuration: revision 4 in force` and, with key=value fields after the event's name,
`hopsail: configuration: lease lost role=orders fencing_token=7`. Topics and texts that docs/operations.md
lists are an interface for operators and scripts. All lines go to the sink of `hopsail.net.log`, in the
fleet's programs `hopsail.event_sink`, which bounds the lines of each topic.
"""

from .net import log


class EventLogger:
    """Writes lines on one topic. `event` is a format for `values` as in the `logging` module."""

    __slots__ = ("topic",)

    def __init__(self, topic: str) -> None:
        """`topic` is the first word of its lines."""
        self.topic = topic

    def info(self, event: str, *values: object, **fields: object) -> None:
        """Logs a change of state that is part of normal work."""
        log.sink().info(_with_fields(event, fields), *values, *fields.values(), extra={"topic": self.topic})

    def warning(self, event: str, *values: object, **fields: object) -> None:
        """Logs what an operator may have to act on."""
        log.sink().warning(
            _with_fields(event, fields), *values, *fields.values(), extra={"topic": self.topic}
        )


def _with_fields(event: str, fields: dict[str, object]) -> str:
    return " ".join([event, *(f"{name}=%s" for name in fields)])


def get_logger(topic: str) -> EventLogger:
    """The logger of a topic, the first word of its lines."""
    return EventLogger(topic)


def log_exception() -> None:
    """Logs the exception that is being handled with its traceback: a fault of the program, which goes on."""
    log.fault()
