"""Rules that a soak's history shows beside the judge's: LOST, VERSION, CONFIG, ONE, RECOVERY. No I/O.

They are as strict as the pages of the system or stricter, but for troubles: what a process does within
`ContactMs` of its own trouble, or of one of the control planes for VERSION, is not judged."""

from collections import defaultdict
from collections.abc import Iterable

from ..load.standstills import Standstill, earliest, merged
from ..standins.kept import MILLISECOND
from ..standins.records import Journal, Rule, Run, Try, Violation
from .history import History

LAST_SIXTH = 5 / 6  # of the grace is over: a host that is still at work is no fault
KNOWN_MS = 3000  # after a SIGTERM a client may not have known of it
MOST_UNPLANNED = 3  # cut answers of one data plane with no planned work and no trouble
AFTER_GRACE_MS = 1000
RECOVERED_SHARE = 0.9  # of the requests at the end of a soak that are served


class Bounds:
    """Times that the rules bound, from the settings that the processes were given; ns."""

    def __init__(self, settings: dict):
        self.contact = int(settings["ContactMs"]) * MILLISECOND
        self.grace = int(settings["GraceS"]) * 1000 * MILLISECOND
        self.sync = int(settings["SyncS"]) * 1000 * MILLISECOND
        self.apply = int(settings["ApplyMs"]) * MILLISECOND
        self.apply_version = int(settings["ApplyOneMs"]) * MILLISECOND
        self.loss_slack = int(settings["LossSlackMs"]) * MILLISECOND


def check_history(journal: Journal, history: History, orders: Iterable, bounds: Bounds) -> list[Violation]:
    """All that these checks find. `orders` are those that hosts have had: (ns, owner, fence, status)."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in journal.runs:
        runs[run.attempt].append(run)
    return [
        *_check_lost(journal, runs, history, bounds),
        *_check_versions(journal, history, bounds),
        *_check_readings(history, bounds),
        *_check_owners(orders),
    ]


def _check_lost(
    journal: Journal, runs: dict[str, list[Run]], history: History, bounds: Bounds
) -> Iterable[Violation]:
    unplanned: dict[str, list[Violation]] = defaultdict(list)
    standstills = merged(history.standstills)
    for one in journal.tries:
        if not one.cut_at or not _is_at_fault(one, runs[one.attempt], history, standstills, bounds):
            continue
        took = (one.cut_at - one.sent_at) // MILLISECOND
        cause = _planned_work(one, history, bounds)
        text = f"{one.taken_by} cut it {took} ms after it was sent, {cause or 'with no planned work'}"
        violation = Violation(Rule.LOST, one.attempt, text)
        if cause:
            if not _ran_to_the_end_of_grace(one, runs[one.attempt], history, bounds):
                yield violation
        elif one.kept and runs[one.attempt]:
            unplanned[one.taken_by].append(violation)
    for found in unplanned.values():
        if len(found) > MOST_UNPLANNED:
            yield from found


def _is_at_fault(
    one: Try, runs: list[Run], history: History, standstills: list[Standstill], bounds: Bounds
) -> bool:
    """Whether nobody but the data plane has cut it."""
    if any(span.meets(one.sent_at - bounds.contact, one.cut_at) for span in history.troubles[one.taken_by]):
        return False
    if one.cut_at >= one.deadline or any(run.broken_off for run in runs):
        return False
    if runs:
        return True
    # The soak's process may have stood still before it noticed the close.
    return earliest(one.cut_at, bounds.loss_slack, standstills) > one.written_at


def _ends_around(one: Try, history: History, bounds: Bounds) -> Iterable[int]:
    """The SIGTERMs in whose grace a try was cut."""
    for at in history.ends[one.taken_by]:
        if at <= one.cut_at <= at + bounds.grace + AFTER_GRACE_MS * MILLISECOND:
            yield at


def _planned_work(one: Try, history: History, bounds: Bounds) -> str:
    """The planned work that the cut falls into, "" without any."""
    for at in _ends_around(one, history, bounds):
        return f"{(one.cut_at - at) // MILLISECOND} ms after its SIGTERM"
    for at in history.reloads[one.taken_by]:
        if at <= one.cut_at and at <= one.sent_at <= at + bounds.apply:
            return f"{(one.cut_at - at) // MILLISECOND} ms after its SIGHUP"
    return ""


def _ran_to_the_end_of_grace(one: Try, runs: list[Run], history: History, bounds: Bounds) -> bool:
    """Whether a host was at work until the end of the grace, on what was sent before clients could know."""
    if not any(not run.complete for run in runs):
        return False
    return any(
        one.sent_at <= at + KNOWN_MS * MILLISECOND and one.cut_at >= at + bounds.grace * LAST_SIXTH
        for at in _ends_around(one, history, bounds)
    )


def _check_versions(journal: Journal, history: History, bounds: Bounds) -> Iterable[Violation]:
    taken_by = {one.attempt: one.taken_by for one in journal.tries}
    for run in journal.runs:
        newer = [at for version, at in history.versions.items() if version > run.revision]
        if not newer or min(newer) > run.began_at:
            continue
        address = taken_by.get(run.attempt, "")
        if _is_out_of_touch(address, run.began_at, history, bounds):
            continue
        since = max(min(newer), _control_settled_at(run.began_at, history, bounds))
        if run.began_at > since + bounds.apply_version:
            late = (run.began_at - min(newer)) // MILLISECOND
            text = f"began on version {run.revision} at {run.instance}, {late} ms after a newer one was acked"
            yield Violation(Rule.VERSION, run.attempt, text)


def _is_out_of_touch(address: str, at: int, history: History, bounds: Bounds) -> bool:
    """Whether a data plane was in trouble, or started, within `ContactMs` before."""
    if any(at - bounds.contact <= start <= at for start in history.starts[address]):
        return True
    return any(span.meets(at - bounds.contact, at) for span in history.troubles[address])


def _control_settled_at(at: int, history: History, bounds: Bounds) -> int:
    """When the last trouble of the control planes before a time was over; the time itself during one."""
    settled = 0
    for span in history.control_troubles:
        if span.begin <= at:
            settled = max(settled, span.end + bounds.sync if span.end else at)
    return settled


def _check_readings(history: History, bounds: Bounds) -> Iterable[Violation]:
    for reading in history.readings:
        due = [
            revision for revision, at in history.configurations.items() if at + bounds.apply < reading.sent_at
        ]
        if due and reading.revision < max(due):
            text = f"{reading.address} reads {reading.revision}, {max(due)} was acknowledged"
            yield Violation(Rule.CONFIG, "", text)


def _check_owners(orders: Iterable) -> Iterable[Violation]:
    owners: dict[int, str] = {}
    for _, owner, fence, _ in orders:
        if owners.setdefault(fence, owner) != owner:
            yield Violation(Rule.ONE, "", f"fence {fence} of {owners[fence]} and of {owner}")


def check_recovery(last: list[Try], ready: int, data_planes: int) -> Iterable[Violation]:
    """RECOVERY, from what was sent once `RecoveryS` had gone by after the last step."""
    if ready < data_planes:
        yield Violation(Rule.RECOVERY, "", f"{ready} of {data_planes} data planes are ready")
    served = sum(one.served for one in last)
    if not last or served < RECOVERED_SHARE * len(last):
        attempt = next((one.attempt for one in last if not one.served), "")
        yield Violation(Rule.RECOVERY, attempt, f"{served} of {len(last)} are served after RecoveryS")


def check_in_force(whole: dict | None, acknowledged: list[dict]) -> Iterable[Violation]:
    """CONFIG at the end: the configuration that is read, None if there is no answer, must be one of these."""
    if whole is None:
        yield Violation(Rule.RECOVERY, "", "the configuration can't be read")
    elif whole not in acknowledged:
        known = [one["Revision"] for one in acknowledged]
        yield Violation(Rule.CONFIG, "", f"revision {whole['Revision']} is in force, not one of {known}")
