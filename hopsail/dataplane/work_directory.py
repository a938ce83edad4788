"""The directory of long prompts under way: who is a registrar, what is asked of it and told to it.

Each host, and each shared part of prompts, has a data plane as its registrar: the host's knows what it has to
read, the part's which hosts were lately sent it. Registrars are found by consistent hashing of the host's
instance id, or the part's key, over the data planes that live, so that
no message names them and none is lost for longer than membership takes to see it. A question costs one
datagram to each registrar and one back, whatever the number of data planes; without an answer within
`ANSWER_NS` the sender goes by its own count. No I/O: `work_socket` carries the datagrams."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from math import isfinite
from random import Random

from ..model import MS
from ..routing.recent_readers import RecentReaders
from ..routing.host_work import Backlog, HostWork, is_sound
from ..routing.ring import HostRing
from ..rpc.errors import FrameError
from ..rpc.structs import decode, encode
from .work_messages import Begun, Ended, HostBacklog, PartHosts, WorkDatagram

Address = tuple[str, int]

ANSWER_NS = 15 * MS
DATAGRAM = 1200  # bytes, below the MTU of every path
MOST_ASKED = 8  # hosts, and parts, in one question: the answer fits a datagram
MOST_QUESTIONS = 1024  # under way; a further one is answered by nobody
MOST_LASTING_MS = 10_000  # for which a prompt whose end is not told counts
REGISTRAR_POINTS = 16  # on the ring of data planes
NUMBER_BITS = 62


@dataclass(slots=True)
class Answer:
    """What registrars have told in time."""

    backlogs: dict[str, Backlog] = field(default_factory=dict)  # by host
    readers: dict[str, list[str]] = field(default_factory=dict)  # hosts by key of a part


class Question:
    """Backlogs and readers that are waited for; `then` is called once, with those that were told in time."""

    def __init__(self, then: Callable[[Answer], None]):
        self.missing: dict[str, Address | None] = {}  # hosts and keys of parts, by who was asked for them
        self.answer = Answer()
        self.then = then
        self.timer = None

    def was_asked(self, sender: Address | None, name: str) -> bool:
        """Whether the name is waited for and this is who was asked for it; None is this process."""
        return name in self.missing and self.missing[name] == sender


class Told:
    """Who was told of a prompt, so that its end is told to the same."""

    __slots__ = ("address", "host", "number")

    def __init__(self, address: Address | None, host: str, number: int):
        self.address, self.host, self.number = address, host, number


class WorkDirectory:
    """One data plane's part in the directory: registrar of some hosts, sender to all.

    `send(address, data)` sends one datagram; of the loop, only its clock and timers are used."""

    def __init__(
        self,
        loop,
        address: Address,
        fleet: str,
        random: Random,
        counters,
        send: Callable[[Address, bytes], None],
    ):
        self.loop, self.address, self.fleet, self.counters = loop, address, fleet, counters
        self.send = send
        self.work = HostWork()
        self.readers = RecentReaders()
        self._members: dict[str, Address] = {}  # other data planes by name, this one among them
        self._ring = HostRing(REGISTRAR_POINTS)
        self._questions: dict[int, Question] = {}
        self._number = random.getrandbits(NUMBER_BITS)
        self.on_lanes: Callable[[Address, WorkDatagram], None] = lambda sender, datagram: None

    def renew(self, members: dict[str, Address]) -> None:
        """Makes these the data planes that live, this one among them."""
        self._members = members
        self._ring.update(members)

    # A sender's side.

    def ask(self, hosts: Iterable[str], parts: Iterable[str], then: Callable[[Answer], None]) -> None:
        """Calls `then` with what registrars tell in time of hosts and of parts, by their keys.

        At once if this process is the registrar of all."""
        now = self.loop.now()
        hosts, parts = list(hosts), list(parts)
        question = Question(then)
        remote: dict[Address, WorkDatagram] = {}
        for host in hosts:
            registrar = question.missing[host] = self.registrar(host)
            if registrar is None:
                self._answer_host(question, None, host, self.work.backlog(now, host))
            else:
                self._datagram(remote, registrar).asked.append(host)
        for part in parts:
            registrar = question.missing[part] = self.registrar(part)
            if registrar is None:
                self._answer_part(question, None, part, self.readers.of(now, part))
            else:
                self._datagram(remote, registrar).asked_parts.append(part)
        if not question.missing or len(self._questions) >= MOST_QUESTIONS:
            then(question.answer)
            return
        number = self.next_number()
        self._questions[number] = question
        question.timer = self.loop.at(now + ANSWER_NS, lambda: self._late(number))
        for address, datagram in remote.items():
            datagram.question = number
            self.send_datagram(address, datagram)

    def _datagram(self, remote: dict[Address, WorkDatagram], address: Address) -> WorkDatagram:
        return remote.setdefault(address, WorkDatagram())

    def begin(self, host: str, tokens: float, lasting_ns: int) -> Told:
        """Tells the host's registrar of a prompt that is being sent."""
        number = self.next_number()
        registrar = self.registrar(host)
        lasting_ms = min(max(1, lasting_ns // MS), MOST_LASTING_MS)
        begun = Begun(host=host, number=number, tokens=tokens, lasting_ms=lasting_ms)
        if registrar is None:
            self._take_begun(self.address, begun)
        else:
            self.send_datagram(registrar, WorkDatagram(begun=[begun]))
        return Told(registrar, host, number)

    def end(self, told: Told, is_sample: bool) -> None:
        """Tells the same registrar that the prompt is read, or given up."""
        ended = Ended(host=told.host, number=told.number, is_sample=is_sample)
        if told.address is None:
            self._take_ended(self.address, ended)
        else:
            self.send_datagram(told.address, WorkDatagram(ended=[ended]))

    def registrar(self, name: str) -> Address | None:
        """Where the registrar of a host, part or service listens; None when it is this process."""
        address = self._members.get(self._ring.home(name))
        return None if address == self.address else address

    def addresses(self) -> Collection[Address]:
        """Where the data planes that live listen, this one among them."""
        return self._members.values()

    def next_number(self) -> int:
        """A number that this process has given to nothing else of late."""
        self._number = (self._number + 1) % (1 << NUMBER_BITS) or 1
        return self._number

    def sent(self, host: str, parts: Iterable[str]) -> None:
        """Tells the registrars of shared parts, by their keys, that the host has been sent them."""
        for part in parts:
            registrar = self.registrar(part)
            if registrar is None:
                self.readers.note(self.loop.now(), part, host)
            else:
                told = PartHosts(part=part, hosts=[host])
                self.send_datagram(registrar, WorkDatagram(sent_parts=[told]))

    def _answer_host(self, question: Question, sender: Address | None, host: str, backlog: Backlog) -> None:
        if question.was_asked(sender, host):
            del question.missing[host]
            question.answer.backlogs[host] = backlog

    def _answer_part(self, question: Question, sender: Address | None, part: str, hosts: list[str]) -> None:
        if question.was_asked(sender, part):
            del question.missing[part]
            question.answer.readers[part] = hosts[:MOST_ASKED]

    def _late(self, number: int) -> None:
        question = self._questions.pop(number, None)
        if question is not None:
            self.counters.add("work.late")
            question.then(question.answer)

    # A registrar's side.

    def _take_begun(self, sender: Address, begun: Begun) -> None:
        lasting_ns = min(max(1, begun.lasting_ms), MOST_LASTING_MS) * MS
        key = (f"{sender[0]}:{sender[1]}", begun.number)
        if isfinite(begun.tokens) and begun.tokens > 0:
            self.work.begin(self.loop.now(), begun.host, key, begun.tokens, lasting_ns)

    def _take_ended(self, sender: Address, ended: Ended) -> None:
        key = (f"{sender[0]}:{sender[1]}", ended.number)
        self.work.end(self.loop.now(), ended.host, key, ended.is_sample)

    # Datagrams.

    def send_datagram(self, address: Address, datagram: WorkDatagram) -> None:
        """Sends one datagram in the name of this fleet."""
        datagram.fleet = self.fleet
        self.send(address, encode(datagram))

    def received(self, data: bytes, sender: Address) -> None:
        """Takes one datagram in; one that is spoilt, or another fleet's, is passed over."""
        try:
            datagram = decode(WorkDatagram, data)
        except FrameError:
            self.counters.add("work.unreadable")
            return
        if datagram.fleet != self.fleet or len(data) > DATAGRAM:
            self.counters.add("work.unreadable")
            return
        for begun in datagram.begun:
            self._take_begun(sender, begun)
        for ended in datagram.ended:
            self._take_ended(sender, ended)
        for sent in datagram.sent_parts:
            for host in sent.hosts[:MOST_ASKED]:
                self.readers.note(self.loop.now(), sent.part, host)
        if datagram.lane_reports or datagram.divisions:
            self.on_lanes(sender, datagram)
        if datagram.asked or datagram.asked_parts:
            self._tell(sender, datagram)
        elif datagram.question:
            self._told(sender, datagram)

    def _tell(self, sender: Address, datagram: WorkDatagram) -> None:
        now = self.loop.now()
        backlogs = []
        for host in datagram.asked[:MOST_ASKED]:
            backlog = self.work.backlog(now, host)
            backlogs.append(
                HostBacklog(host=host, waiting=backlog.waiting, read=backlog.read, read_ms=backlog.read_ms)
            )
        asked_parts = datagram.asked_parts[:MOST_ASKED]
        readers = [PartHosts(part=part, hosts=self.readers.of(now, part)) for part in asked_parts]
        answer = WorkDatagram(question=datagram.question, backlogs=backlogs, readers=readers)
        self.send_datagram(sender, answer)

    def _told(self, sender: Address, datagram: WorkDatagram) -> None:
        question = self._questions.get(datagram.question)
        if question is None:
            return  # it came too late
        for backlog in datagram.backlogs:
            told = Backlog(backlog.waiting, backlog.read, backlog.read_ms)
            if is_sound(told):
                self._answer_host(question, sender, backlog.host, told)
        for readers in datagram.readers:
            self._answer_part(question, sender, readers.part, readers.hosts)
        if not question.missing:
            del self._questions[datagram.question]
            question.timer.cancel()
            question.then(question.answer)
