"""Answers followers' polls out of a journal. Pure apart from the callbacks it is given."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Protocol

from .journal import Journal, Page
from .messages import ChangeStruct, PollReply, PollRequest

MS = 1_000_000  # ns
MAX_PARKED = 1024  # polls that wait; a further one is answered at once
MAX_WAIT_MS = 10_000
MAX_PAGE_BYTES = 512 * 1024  #  of changes in one reply, about, before they are packed


class Responder(Protocol):
    """The way back to the one who polls."""

    def __call__(self, reply: PollReply) -> None:
        """Sends the reply."""

    def on_closed(self, callback: Callable[[], None]) -> None:
        """Calls back when the one who polls has gone."""


@dataclass(slots=True, eq=False)
class _Parked:
    request: PollRequest
    respond: Responder
    began: int  # ns
    due: int  # ns


class Publisher:
    """Publishes one journal; `tick` is to be called at `due`.

    `reply_decorator`, where set, fills in what the journal does not know: how long ago a majority
    confirmed its contents, and the members."""

    def __init__(
        self, journal: Journal, clock: Callable[[], int], node: str = "", max_page: int = MAX_PAGE_BYTES
    ) -> None:
        """Answers for `journal` as `node`, by `clock` (ns), in pages of about `max_page` bytes."""
        self.journal, self.clock, self.node, self.max_page = journal, clock, node, max_page
        self.reply_decorator: Callable[[PollReply], None] | None = None
        self.parking = True
        self.refused_parking = 0  # polls answered at once because too many waited
        self._on_report: Callable[[str, str, str, bytes], None] | None = None
        self._parked: dict[str, _Parked] = {}  # by node
        self._timers: list[tuple[int, int, _Parked]] = []  # a heap; those no longer parked are skipped
        self._serial = count()
        journal.subscribe(self._changed)

    @property
    def parked(self) -> int:
        """The number of polls that wait."""
        return len(self._parked)

    @property
    def due(self) -> int | None:
        """When the first waiting poll is to be answered (ns), None while none waits."""
        while self._timers and not self._waits(self._timers[0][2]):
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def on_report(self, callback: Callable[[str, str, str, bytes], None]) -> None:
        """Hands over (node, role, zone, report) of each poll from now on."""
        self._on_report = callback

    def poll(self, request: PollRequest, respond: Responder) -> None:
        """Answers at once when the follower lacks anything, else when it does or its time is over."""
        if self._on_report is not None:
            self._on_report(request.node, request.role, request.zone, request.report)
        if (earlier := self._parked.pop(request.node, None)) is not None:
            self._answer_empty(earlier)  # its follower has given it up
        if self._is_behind(request):
            respond(self._reply(request, self._page(request)))
        else:
            self._park(request, respond)

    def tick(self, now: int) -> None:
        """Answers the polls whose time is over."""
        while (due := self.due) is not None and due <= now:
            parked = heappop(self._timers)[2]
            del self._parked[parked.request.node]
            self._answer_empty(parked)

    def stop_parking(self) -> None:
        """Answers all polls that wait, and lets none wait from now on."""
        self.parking = False
        self.release()

    def release(self) -> None:
        """Answers all polls that wait: what replies tell besides the changes is different now."""
        parked, self._parked = self._parked, {}
        for one in parked.values():
            self._answer_empty(one)

    def _waits(self, parked: _Parked) -> bool:
        return self._parked.get(parked.request.node) is parked

    def _is_behind(self, request: PollRequest) -> bool:
        journal = self.journal
        if request.incarnation != journal.incarnation or request.sequence > journal.sequence or request.base:
            return True
        return any(journal.topic_sequence(topic) > request.sequence for topic in request.topics)

    def _park(self, request: PollRequest, respond: Responder) -> None:
        wait_ms = min(max(request.wait_ms, 0), MAX_WAIT_MS)
        now = self.clock()
        parked = _Parked(request, respond, now, now + wait_ms * MS)
        if wait_ms == 0 or not self.parking or len(self._parked) >= MAX_PARKED:
            self.refused_parking += wait_ms > 0
            self._answer_empty(parked)
            return
        self._parked[request.node] = parked
        heappush(self._timers, (parked.due, next(self._serial), parked))
        self._clean_timers()
        respond.on_closed(lambda: self._leave(parked))

    def _clean_timers(self) -> None:
        if len(self._timers) > 2 * MAX_PARKED:
            self._timers = [entry for entry in self._timers if self._waits(entry[2])]
            heapify(self._timers)

    def _leave(self, parked: _Parked) -> None:
        if self._waits(parked):
            del self._parked[parked.request.node]

    def _changed(self) -> None:
        behind = [parked for parked in self._parked.values() if self._is_behind(parked.request)]
        for parked in behind:
            del self._parked[parked.request.node]
        pages: dict[tuple[int, tuple[int, ...]], PollReply] = {}
        for parked in behind:
            request = parked.request
            question = (request.sequence, tuple(request.topics))
            if question not in pages:
                pages[question] = self._reply(request, self._page(request))
            parked.respond(pages[question])

    def _page(self, request: PollRequest) -> tuple[Page, bool]:
        """What the request's follower lacks, and whether it is (the first part of) a snapshot."""
        topics = set(request.topics)
        if request.incarnation == self.journal.incarnation:
            page = self.journal.page_since(request.sequence, topics, self.max_page, request.base)
            if page is not None:
                return page, False
        return self.journal.page_of_snapshot(topics, self.max_page), True

    def _answer_empty(self, parked: _Parked) -> None:
        # It was parked because it lacks nothing.
        page = Page([], self.journal.sequence, False)
        reply = self._reply(parked.request, (page, False))
        reply.parked_ms = (self.clock() - parked.began) // MS
        parked.respond(reply)

    def _reply(self, request: PollRequest, found: tuple[Page, bool]) -> PollReply:
        page, snapshot = found
        reply = PollReply(
            node=self.node,
            incarnation=self.journal.incarnation,
            sequence=page.sequence,
            snapshot=snapshot,
            changes=[ChangeStruct(topic=c.topic, key=c.key, value=c.value) for c in page.changes],
            more=page.more,
            base=self._base(request, page, snapshot),
            since=request.sequence,
        )
        if self.reply_decorator is not None:
            self.reply_decorator(reply)
        return reply

    def _base(self, request: PollRequest, page: Page, snapshot: bool) -> int:
        if not page.more:
            return 0
        return self.journal.sequence if snapshot else request.base
