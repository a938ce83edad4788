"""The bench's binary wire, and the door of one balancer on it. Nothing else knows wire names or ids."""

from struct import Struct
from struct import error as StructError
from typing import NamedTuple

from ..decide import Balancer
from ..model import (
    Bounce,
    Close,
    Listing,
    Outcome,
    Report,
    Retrieval,
    Scope,
    Scrap,
    Send,
    Settings,
    State,
    Subscribe,
    WakeAt,
)
from ..settings import US, SettingsFault, decode

LONGEST_SPAN = 71 * 60 * 1_000_000  # us, the wire's bound on a timer
HEADER = Struct("<IQI")
REPLY = Struct("<II")
EVENT_SIZE = 48

PROVISION, TEARDOWN, ENDPOINTS, SUBMIT, FLOWING = 40, 10, 70, 50, 90
RESPONSE, WITHDRAWN, WAKE, ECHO, MESSAGE = 80, 100, 20, 30, 60
EVENTS = {
    PROVISION: Struct("<xIQII"),
    TEARDOWN: Struct("<xI"),
    ENDPOINTS: Struct("<xIBQII"),
    SUBMIT: Struct("<xIIBfIHQIH"),
    FLOWING: Struct("<xIIHII"),
    RESPONSE: Struct("<xIIIIIHHBB4f"),
    WITHDRAWN: Struct("<xII"),
    WAKE: Struct("<xIQ"),
    ECHO: Struct("<xIIHI"),
    MESSAGE: Struct("<xIIII"),
}
ENTRY = Struct("<IBHHBfQ")
PLACE = Struct("<BIIIi7x")
BUSY = Struct("<BIII11x")
ABORT = Struct("<BII15x")
NOTIFY = Struct("<BIIQ7x")
CLOSE = Struct("<BII15x")
OBSERVE = Struct("<BIB18x")
TEXT = Struct("<BIII11x")

OUTCOMES = {
    100: Outcome.HANDLED,
    101: Outcome.MISS,
    301: Outcome.ERROR,
    302: Outcome.FULL,
    303: Outcome.TIMED_OUT,
    304: Outcome.NO_CONNECTION,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NEVER_SENT,
}
SCOPES = {0: Scope.CHANGES, 1: Scope.WHOLE, 3: Scope.FAILED, 4: Scope.WHOLE}


class WireError(Exception):
    """What came in is not a batch of this wire."""


class Batch(NamedTuple):
    clock: int
    records: list[tuple]  # (code, fields)
    tail: memoryview


def read_batch(stream) -> Batch | None:
    """The next batch of a binary stream, None at its end."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise WireError(f"input ends within a batch header ({len(head)} of {HEADER.size} bytes)")
    length, clock, count = HEADER.unpack(head)
    if count * EVENT_SIZE > length:
        raise WireError(f"{count} records do not fit in a body of {length} bytes")
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"input ends within a batch ({len(body)} of {length} bytes)")
    records = []
    for at in range(0, count * EVENT_SIZE, EVENT_SIZE):
        code = body[at]
        if code not in EVENTS:
            raise WireError(f"record {at // EVENT_SIZE} has the unknown event code {code}")
        records.append((code, EVENTS[code].unpack_from(body, at)))
    return Batch(clock, records, memoryview(body)[count * EVENT_SIZE :])


def cut(tail: memoryview, offset: int, length: int) -> memoryview:
    if offset + length > len(tail):
        raise WireError(f"a field lies outside the tail ({offset} + {length} of {len(tail)} bytes)")
    return tail[offset : offset + length]


def read_settings(text: str) -> Settings:
    """Decodes the settings that the module reads from lines of pairs."""
    try:
        return decode(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
    except SettingsFault as fault:
        raise WireError(str(fault)) from None


class Door:
    """One instance: translates its events, holds its ids, encodes its actions into a reply."""

    def __init__(self, instance: int, seed: int, settings: Settings, now: int):
        self.instance = instance
        self.settings = settings
        self.held: dict[int, Retrieval] = {}
        self.tokens: dict[int, object] = {}
        self.cookie = 0
        self.balancer = Balancer(settings, seed, now)

    def take(self, code: int, fields: tuple, now: int, tail: memoryview, reply: "Reply") -> None:
        balancer = self.balancer
        if code == RESPONSE:
            _, ticket, _, _, _, number, result, complete, told, *values = fields
            retrieval = self.held.get(ticket)
            if retrieval is None or number >= len(retrieval.legs):
                return
            outcome = OUTCOMES.get(result, Outcome.ERROR)
            report = Report.read(self.settings.columns, values[:told]) if told else None
            balancer.leg_ended(now, retrieval.legs[number], outcome, bool(complete), report)
            self._forget(retrieval)
        elif code == SUBMIT:
            _, ticket, bits, _, work, track, key, expires, customer = fields
            retrieval = Retrieval(
                ticket,
                self.settings.tracks[track],
                key,
                now + expires * US,
                bool(bits & 4),
                work * US if bits & 1 else 0,
                customer,
            )
            self.held[ticket] = retrieval
            balancer.arrived(now, retrieval)
        elif code == WAKE:
            if fields[1] not in self.tokens:
                return
            balancer.woken(now, self.tokens.pop(fields[1]))
        elif code == WITHDRAWN:
            retrieval = self.held.get(fields[1])
            if retrieval is None:
                return
            balancer.withdrawn(now, retrieval)
            self._forget(retrieval)
        elif code == ENDPOINTS:
            _, scope, _, offset, count = fields
            if scope not in SCOPES:
                raise WireError(f"an Endpoints event has the unknown scope {scope}")
            entries = []
            for name, zone, kind, cell, state, size, started in ENTRY.iter_unpack(
                cut(tail, offset, count * ENTRY.size)
            ):
                if state > 2:
                    raise WireError(f"a list entry has the unknown state {state}")
                entries.append(Listing(name, zone, kind, cell, State(state), size, started * US))
            balancer.listed(now, SCOPES[scope], entries)
        else:  # probes and peers are never asked for; a started stream needs nothing from us
            return
        if balancer.out:
            self._encode(balancer.out, now, reply)
            balancer.out.clear()

    def _forget(self, retrieval: Retrieval) -> None:
        if retrieval.done and all(leg.outcome is not None for leg in retrieval.legs):
            self.held.pop(retrieval.mark, None)

    def _encode(self, actions: list, now: int, reply: "Reply") -> None:
        put, instance = reply.records.append, self.instance
        for action in actions:
            kind = type(action)
            if kind is Send:
                leg = action.leg
                limit = max(1, -(-leg.limit // US))
                put(PLACE.pack(90, instance, leg.retrieval.mark, leg.host.name, limit))
            elif kind is Bounce:
                put(BUSY.pack(120, instance, action.retrieval.mark, action.wait // US))
                self._forget(action.retrieval)
            elif kind is Scrap:
                put(ABORT.pack(30, instance, action.retrieval.mark))
                self._forget(action.retrieval)
            elif kind is WakeAt:
                self.cookie += 1
                self.tokens[self.cookie] = action.token
                span = min(max(0, -(-(action.at - now) // US)), LONGEST_SPAN)
                put(NOTIFY.pack(80, instance, span, self.cookie))
            elif kind is Close:
                put(CLOSE.pack(50, instance, action.host.name))
            elif kind is Subscribe:
                put(OBSERVE.pack(70, instance, 1))


class Reply:
    """Collects the answer to one batch."""

    def __init__(self):
        self.records: list[bytes] = []
        self.tail = bytearray()

    def text(self, code: int, instance: int, text: str) -> None:
        data = text.encode()
        self.records.append(TEXT.pack(code, instance, len(self.tail), len(data)))
        self.tail += data

    def encode(self) -> bytes:
        body = b"".join(self.records) + self.tail
        return REPLY.pack(len(body), len(self.records)) + body


class Link:
    """All instances that the bench lets live in this process; they share nothing but the stream."""

    def __init__(self):
        self.doors: dict[int, Door] = {}

    def answer(self, batch: Batch) -> bytes:
        reply = Reply()
        now = batch.clock * US
        doors, tail = self.doors, batch.tail
        for code, fields in batch.records:
            instance = fields[0]
            if code == PROVISION:
                try:
                    text = bytes(cut(tail, fields[2], fields[3])).decode()
                except UnicodeDecodeError:
                    raise WireError("the settings are not UTF-8 text") from None
                doors[instance] = Door(instance, fields[1], read_settings(text), now)
            elif code == TEARDOWN:
                doors.pop(instance, None)
            elif (door := doors.get(instance)) is not None:
                try:
                    door.take(code, fields, now, tail, reply)
                except (WireError, StructError):
                    raise
                except Exception as fault:
                    cause = f"{type(fault).__name__}: {fault}"
                    reply.text(100, instance, f"instance {instance}: {cause}")
        return reply.encode()
