"""Pagination through the platform's list of hosts, as a state machine without I/O."""

import json
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import quote

from hopsail.hosts.instance import Instance, InstanceError, merge, parse_instance

LIST_PATH = "/instances"
MAX_PAGES = 400
MAX_TOKEN_LENGTH = 1024
STATUS_OK = 200
STATUS_RATE_EXCEEDED = 429


class FailureReason(Enum):
    """Why a listing failed."""

    RATE_EXCEEDED = "the platform answered 429"
    STATUS = "the platform did not answer 200"
    SHAPE = "a page could not be parsed"
    PAGES = "there are too many pages, or they go in a circle"


class NextPage(NamedTuple):
    """The next page to request."""

    path: str


class Complete(NamedTuple):
    """All pages were received."""

    instances: list[Instance]
    pages: int


class Failed(NamedTuple):
    """This listing has failed; a later one starts afresh."""

    reason: FailureReason


class _Page(NamedTuple):
    instances: list[Instance]
    next_token: str | None


class ListingReader:
    """Collects the pages of `GET /instances`; `start` begins a listing and drops one that was in progress."""

    def __init__(self, max_pages: int = MAX_PAGES) -> None:
        """Create a reader that fails a listing of more than `max_pages` pages."""
        self._max_pages = max_pages
        self._instances: dict[str, Instance] = {}
        self._tokens: set[str] = set()
        self._pages = 0
        self._in_progress = False

    @property
    def in_progress(self) -> bool:
        """Whether a page is awaited."""
        return self._in_progress

    def start(self) -> str:
        """Begin a listing and return the path of its first page."""
        self._instances = {}
        self._tokens = set()
        self._pages = 0
        self._in_progress = True
        return LIST_PATH

    def receive_page(self, status: int, body: bytes) -> NextPage | Complete | Failed:
        """Process the response for the page requested last.

        Raises:
            RuntimeError: no page is awaited.
        """
        if not self._in_progress:
            raise RuntimeError("no page is awaited")
        if status == STATUS_RATE_EXCEEDED:
            return self._fail(FailureReason.RATE_EXCEEDED)
        if status != STATUS_OK:
            return self._fail(FailureReason.STATUS)
        try:
            page = _parse_page(body)
        except InstanceError:
            return self._fail(FailureReason.SHAPE)
        return self._add_page(page)

    def _add_page(self, page: _Page) -> NextPage | Complete | Failed:
        self._pages += 1
        for instance in page.instances:
            earlier = self._instances.get(instance.identifier)
            self._instances[instance.identifier] = merge(earlier, instance) if earlier else instance
        if page.next_token is None:
            self._in_progress = False
            return Complete(list(self._instances.values()), self._pages)
        if self._pages >= self._max_pages or page.next_token in self._tokens:
            return self._fail(FailureReason.PAGES)
        self._tokens.add(page.next_token)
        return NextPage(f"{LIST_PATH}?PageToken={quote(page.next_token, safe='')}")

    def _fail(self, reason: FailureReason) -> Failed:
        self._in_progress = False
        self._instances = {}
        return Failed(reason)


def _parse_page(body: bytes) -> _Page:
    try:
        page = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InstanceError("a page is not JSON") from error
    if not isinstance(page, dict) or not isinstance(page.get("Instances"), list):
        raise InstanceError("a page has no list of instances")
    instances = [parse_instance(entry) for entry in page["Instances"]]
    return _Page(instances, _next_token(page))


def _next_token(page: dict[str, Any]) -> str | None:
    if "NextToken" not in page:
        raise InstanceError("a page has no NextToken")
    token = page["NextToken"]
    if token is None:
        return None
    if not isinstance(token, str) or not 0 < len(token) <= MAX_TOKEN_LENGTH:
        raise InstanceError("NextToken is not a text of bounded length")
    return token
