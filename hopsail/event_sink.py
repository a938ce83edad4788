"""Where the log lines of the router fleet's programs go: standard error, through picologging."""

import sys
from typing import TextIO

import picologging

from .net import log
from .net.topic_limiter import TopicLimiter

LINE_FORMAT = "hopsail: %(message)s"
LOGGER_NAME = "hopsail"
NO_PATH = ""  # the source of a line is not shown


class PicologgingSink:
    """A sink for `hopsail.net.log`: one line for each event, bounded for each topic.

    Records are made here and not by a `picologging.Logger`: to tell where a line comes from, that one takes
    the frames of its callers and never gives them back, nor what stands in their variables (0.9.3)."""

    def __init__(self, stream: TextIO | None = None) -> None:
        """Writes to this stream, standard error if None."""
        self._handler = picologging.StreamHandler(stream or sys.stderr)
        self._handler.setFormatter(picologging.Formatter(LINE_FORMAT))
        self._limiter = TopicLimiter()

    def info(self, text: str, *arguments: object, extra: log.Extra) -> None:
        """Writes a line at level INFO."""
        self._write(picologging.INFO, text, arguments, extra)

    def warning(self, text: str, *arguments: object, extra: log.Extra) -> None:
        """Writes a line at level WARNING."""
        self._write(picologging.WARNING, text, arguments, extra)

    def error(self, text: str, *arguments: object, extra: log.Extra) -> None:
        """Writes a line at level ERROR."""
        self._write(picologging.ERROR, text, arguments, extra)

    def _write(self, level: int, text: str, arguments: tuple[object, ...], extra: log.Extra) -> None:
        line = self._format(text, arguments, extra)
        if line is not None:
            self._handler.handle(picologging.LogRecord(LOGGER_NAME, level, NO_PATH, 0, line, (), None))

    def _format(self, text: str, arguments: tuple[object, ...], extra: log.Extra) -> str | None:
        """The line, or None when its topic has had enough of them this second."""
        topic, suppressed = extra["topic"], 0
        if extra.get("bounded", True):
            admitted = self._limiter.admit(topic)
            if admitted is None:
                return None
            suppressed = admitted
        more = f" ({suppressed} more left out)" if suppressed else ""
        return f"{topic}: {text % arguments if arguments else text}{more}"


def install() -> None:
    """Sends all lines of this process through picologging from now on."""
    log.adopt(PicologgingSink())
