"""Where the log lines of the router fleet's programs go: standard error, through picologging."""

import sys
from typing import TextIO

import picologging

from .net import log
from .net.topic_limiter import TopicLimiter

LINE_FORMAT = "hopsail: %(message)s"


class PicologgingSink:
    """A sink for `hopsail.net.log`: one line for each event, bounded for each topic."""

    def __init__(self, stream: TextIO | None = None) -> None:
        """Writes to this stream, standard error if None."""
        self._logger = picologging.Logger("hopsail", picologging.INFO)
        handler = picologging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(picologging.Formatter(LINE_FORMAT))
        self._logger.addHandler(handler)
        self._limiter = TopicLimiter()

    def info(self, text: str, *arguments: object, extra: log.Extra) -> None:
        """Writes a line at level INFO."""
        line = self._format(text, arguments, extra)
        if line is not None:
            self._logger.info(line)

    def warning(self, text: str, *arguments: object, extra: log.Extra) -> None:
        """Writes a line at level WARNING."""
        line = self._format(text, arguments, extra)
        if line is not None:
            self._logger.warning(line)

    def error(self, text: str, *arguments: object, extra: log.Extra) -> None:
        """Writes a line at level ERROR."""
        line = self._format(text, arguments, extra)
        if line is not None:
            self._logger.error(line)

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
