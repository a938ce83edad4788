"""A control process's feeds: its journal for those who poll it, and the journals of the others."""

from collections.abc import Callable

from ..configuration.process import ProcessSettings
from ..feed.confirmed import ConfirmedFeeds, contact_time
from ..feed.follower import Follower, Subscription
from ..feed.journal import Change, Journal
from ..feed.messages import PollReply, PollRequest
from ..feed.packing import PackedResponder, Packer
from ..feed.publisher import Publisher
from ..feed.topics import SOFT_TOPICS
from ..net.loop import Loop
from ..replication.replica import Replica
from ..rpc.channel import Channel
from .contact import MajorityContact

ROLE = "controlplane"


class Feeds:
    """Publishes the journal with what else a poll's reply tells, and follows the other control processes.

    `alive()` gives the control processes that the membership knows; `handle_changes(changes)` takes the
    others' changes."""

    def __init__(
        self,
        loop: Loop,
        settings: ProcessSettings,
        identity: str,
        journal: Journal,
        replica: Replica,
        channel: Callable[[str], Channel],
        is_fed: Callable[[], bool],
        alive: Callable[[], set[str]],
        handle_changes: Callable[[list[Change]], None],
    ) -> None:
        self._loop, self._settings, self._identity = loop, settings, identity
        self._replica, self._channel, self._alive = replica, channel, alive
        self.publisher = Publisher(journal, loop.now, settings.node_name)
        self.publisher.reply_decorator = self._decorate
        self._packer = Packer()
        max_age_ns = contact_time(settings.bounds)
        self.contact = MajorityContact(
            loop, replica, channel, is_fed, max_age_ns // 2, self.publisher.release
        )
        self.followers: dict[str, Follower] = {}
        self._confirmed = ConfirmedFeeds(
            loop.now, max_age_ns, max_age_ns, lambda _, changes: handle_changes(changes)
        )

    def poll(self, request: PollRequest, respond, peer) -> None:
        """A follower's call."""
        self.publisher.poll(request, PackedResponder(self._packer, respond))

    def tick(self) -> None:
        """To be called often."""
        self.contact.tick()
        now = self._loop.now()
        due = self.publisher.due
        if due is not None and due <= now:
            self.publisher.tick(now)
        self._confirmed.tick()

    def _decorate(self, reply: PollReply) -> None:
        reply.contact_age_ms = self.contact.age_ms()
        replica = self._replica
        members = replica.log.members_at(replica.commit_index).all
        if members:
            reply.members, reply.members_as_of = list(members), replica.commit_index
        if not members or not self.contact.is_recent(self._loop.now()):
            reply.others = sorted(self._alive() | set(replica.members.all) | {self._identity})

    def follow_others(self) -> None:
        """Follows all other control processes that are known, and nobody else."""
        others = (set(self._replica.members.all) | self._alive()) - {self._identity}
        for peer in others - self.followers.keys():
            self.followers[peer] = Follower(
                self._loop,
                self._channel(peer),
                Subscription(self._settings.node_name, ROLE, self._settings.zone, SOFT_TOPICS),
                self._confirmed.changed,
            )
        for peer in self.followers.keys() - others:
            follower = self.followers.pop(peer)
            follower.stop()
            self._confirmed.forget(follower)
