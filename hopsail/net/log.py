"""Log lines on standard error, through the standard library's logging: so many a second for each topic, as
text or as one JSON object a line. (structlog was measured: 11 MB more, as much as all else; logging 0.7)."""

import json
import logging
import sys
import traceback
from typing import NotRequired, Protocol, TypedDict

from .topic_limiter import TopicLimiter

logging.raiseExceptions = (
    False  # a full or closed log must not take the balancer down, nor keep it from its end
)


class Bound(logging.Filter):
    """Lets so many lines of a topic through each second; the next one tells how many were left out."""

    def __init__(self):
        super().__init__()
        self._limiter = TopicLimiter()

    def filter(self, record):
        if not getattr(record, "bounded", True):
            return True
        suppressed = self._limiter.admit(record.topic)
        if suppressed is None:
            return False
        record.left_out = suppressed
        return True


class Plain(logging.Formatter):
    def format(self, record):
        left_out = getattr(record, "left_out", 0)
        more = f" ({left_out} more left out)" if left_out else ""
        return f"hopsail: {record.topic}: {record.getMessage()}{more}"


class Json(logging.Formatter):
    """One object a line, also for a traceback: what reads it need not know where a message ends."""

    def __init__(self, name):
        super().__init__()
        self.name = name

    def format(self, record):
        tree = {"at": round(record.created, 6), "name": self.name, "level": record.levelname.lower(),
                "topic": record.topic, "text": record.getMessage()}  # fmt: skip
        if left_out := getattr(record, "left_out", 0):
            tree["left_out"] = left_out
        return json.dumps(tree)


class Stderr(logging.StreamHandler):
    """Whatever standard error is at that moment."""

    @property
    def stream(self):
        return sys.stderr

    @stream.setter
    def stream(self, _):
        pass


_handler = Stderr()
_handler.setFormatter(Plain())
_logger = logging.Logger("hopsail")  # of its own: what others log, and how, is theirs
_logger.addHandler(_handler)
_logger.addFilter(Bound())


class Extra(TypedDict):
    """What a line has beside its text."""

    topic: str
    bounded: NotRequired[
        bool
    ]  # whether it counts among its topic's lines of this second; it does if not given


class Sink(Protocol):
    """Where lines go: the methods of a logger that are used here. `text` is a format for `arguments`."""

    def info(self, text: str, *arguments: object, extra: Extra) -> None:
        """Writes a line at level INFO."""

    def warning(self, text: str, *arguments: object, extra: Extra) -> None:
        """Writes a line at level WARNING."""

    def error(self, text: str, *arguments: object, extra: Extra) -> None:
        """Writes a line at level ERROR."""


def adopt(sink: Sink) -> None:
    """Lines go to this sink from now on."""
    global _logger
    _logger = sink


def sink() -> Sink:
    """Where lines go now."""
    return _logger


def form(as_json: bool, name: str) -> None:
    """How lines look from now on."""
    _handler.setFormatter(Json(name) if as_json else Plain())


def say(topic: str, text: str) -> None:
    _logger.info("%s", text, extra={"topic": topic})


def fault() -> None:
    """Tells of the exception that is being handled."""
    _logger.error("%s", traceback.format_exc(), extra={"topic": "fault"})


def line(topic: str, text: str) -> None:
    """One line, whatever else was said this second."""
    _logger.info("%s", text, extra={"topic": topic, "bounded": False})
