"""The view of the fleet: which update of a member overrides which, and what is announced. No I/O."""

from .context import SwimContext
from .members import Member
from .name_conflicts import NameConflicts
from .settings import MAX_MEMBERS, SUSPICION_CONFIRMATIONS, suspicion_timeout_ns
from .wire import MAX_NUMBER, MemberStatus, MemberUpdate

UNKNOWN_INCARNATION = -1  # of a member of which nothing has been applied yet: any update overrides it


def _is_older(update: MemberUpdate, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation < known.incarnation
    return update.refutations < known.refutations


class FleetView:
    """Applies updates to the table of members, defends the own member and announces changes."""

    def __init__(self, context: SwimContext, conflicts: NameConflicts) -> None:
        """Works on the context's table of members."""
        self._context = context
        self._members = context.members
        self._conflicts = conflicts

    def apply(self, update: MemberUpdate, now: int) -> None:
        """Takes an update in; one that is older than what is known changes nothing."""
        if update.name == self._members.own.name:
            self._apply_to_own(update, now)
            return
        known = self._members.by_name.get(update.name)
        if known is None:
            if len(self._members.by_name) >= MAX_MEMBERS:
                self._context.counts["refused.room"] += 1
                return
            known = self._add_unknown(update, now)
        if update.removal_version > known.removal_version:
            self._apply_removal(known, update.removal_version, now)
        if known.is_removed:
            known.incarnation = max(known.incarnation, update.incarnation)
        elif _is_older(update, known):
            if update.status is MemberStatus.ALIVE and not known.is_live:
                self._context.rechecks.add(known)  # it may have to refute
        else:
            self._apply_status(known, update, now)

    def _add_unknown(self, update: MemberUpdate, now: int) -> Member:
        member = Member.from_update(update._replace(status=MemberStatus.DEAD, removal_version=0), now)
        member.incarnation = UNKNOWN_INCARNATION
        self._members.by_name[update.name] = member
        return member

    def _apply_removal(self, known: Member, removal_version: int, now: int) -> None:
        was_removed = known.is_removed
        known.removal_version = removal_version
        if known.is_removed and known.is_live:
            self.set_status(known, MemberStatus.DEAD, now)
        self.announce(known, now, view_changed=was_removed != known.is_removed)

    def _apply_status(self, known: Member, update: MemberUpdate, now: int) -> None:
        newer = update.incarnation > known.incarnation or update.refutations > known.refutations
        moved = update.address != known.address and known.is_live
        if newer and moved and known.incarnation != UNKNOWN_INCARNATION:
            self._conflicts.open(known, update, now)
            return
        if update.status is MemberStatus.DEAD and known.status is MemberStatus.ALIVE:
            # After a partition each side tells of the other's dead, who live: they may refute.
            update = update._replace(status=MemberStatus.SUSPECT)
            self._context.rechecks.add(known)
        if newer or update.status > known.status:
            known.address = update.address
            known.incarnation = update.incarnation
            known.refutations = update.refutations
            suspected = update.status is MemberStatus.SUSPECT
            known.suspected_by = {update.suspected_by} if suspected else set()
            self.set_status(known, update.status, now)
        elif update.status is MemberStatus.SUSPECT and known.status is MemberStatus.SUSPECT:
            self._confirm_suspicion(known, update.suspected_by, now)
        elif update.status < known.status and not known.is_live:
            self._context.rechecks.add(known)

    def _confirm_suspicion(self, member: Member, suspected_by: int, now: int) -> None:
        """An independent suspicion shortens the time to refute, here and where it is passed on."""
        if suspected_by in member.suspected_by or len(member.suspected_by) >= SUSPICION_CONFIRMATIONS:
            return
        member.suspected_by.add(suspected_by)
        member.suspicion_deadline_ns = member.status_since_ns + self._suspicion_timeout_ns(member)
        self.announce(member, now, view_changed=False)

    def _suspicion_timeout_ns(self, member: Member) -> int:
        live = self._members.live_count()
        return suspicion_timeout_ns(self._context.settings, live, len(member.suspected_by))

    def set_status(self, member: Member, status: MemberStatus, now: int) -> None:
        """Changes a member's status and announces it."""
        was_live = member.is_live
        member.status, member.status_since_ns = status, now
        if status is MemberStatus.SUSPECT:
            member.suspicion_deadline_ns = now + self._suspicion_timeout_ns(member)
        elif was_live and status is MemberStatus.DEAD:
            self._context.counts["gone"] += 1
        if status is MemberStatus.ALIVE:
            self._context.rechecks.discard(member.name)
        self.announce(member, now, view_changed=True)

    def announce(self, member: Member, now: int, *, view_changed: bool) -> None:
        """Has others told of a member."""
        self._context.updates.enqueue(member)
        if view_changed:
            self._members.record_change(now)

    def _apply_to_own(self, update: MemberUpdate, now: int) -> None:
        own = self._members.own
        if update.removal_version > own.removal_version:
            own.removal_version = update.removal_version
            self.announce(own, now, view_changed=True)
        if update.incarnation > own.incarnation:
            # A later incarnation of this name: an own one, if a clock stepped back; or it lives elsewhere.
            if update.address == own.address:
                self.start_incarnation(min(MAX_NUMBER, update.incarnation + 1), now)
            elif update.status <= MemberStatus.SUSPECT:
                self._conflicts.record_own_name_claim(update)
        elif update.incarnation == own.incarnation:
            self._refute(update, now)

    def _refute(self, update: MemberUpdate, now: int) -> None:
        own = self._members.own
        outdated = update.status is MemberStatus.ALIVE or update.refutations < own.refutations
        if outdated or own.status is MemberStatus.LEFT:
            return
        own.refutations = min(MAX_NUMBER, update.refutations + 1)
        self._context.health.degrade()
        self._context.counts["defended"] += 1
        self.announce(own, now, view_changed=False)

    def start_incarnation(self, incarnation: int, now: int) -> None:
        """Has this member live on under a later incarnation than any that others know."""
        own = self._members.own
        own.incarnation = incarnation
        own.refutations = 0
        self._context.outbox.reset_sequence()
        self.announce(own, now, view_changed=True)

    def set_removed(self, name: str, removed: bool, now: int) -> bool:
        """Has a member removed or admitted again; False when no other member has this name."""
        member = self._members.by_name.get(name)
        if member is None or member is self._members.own:
            return False
        if member.is_removed != removed:
            update = member.to_update()
            self.apply(update._replace(removal_version=member.removal_version + 1), now)
        return True

    def forget_dead(self, now: int) -> None:
        """Drops members that have been dead for long."""
        oldest = now - self._context.settings.forget_dead_ns
        forgotten = [
            member.name
            for member in self._members.by_name.values()
            if not member.is_live and not member.is_removed and member.status_since_ns < oldest
        ]
        for name in forgotten:
            del self._members.by_name[name]
            self._context.updates.discard(name)
