"""The plain way to know who lives, as a baseline for studies: each tells all others each period that it does.

News of members and their identity are the core's; probes, helpers, doubts and defences are not used."""

from .protocol import GONE, Core
from .wire import PAD, Kind

SILENT = 5  # periods with no word from a member, until it is taken for gone


class Heartbeat(Core):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.heard = {}

    def _take(self, message, length):
        super()._take(message, length)
        self.heard[message.sender.name] = self.now

    def _answer(self, message, length):
        known = self.members[message.sender.name]
        if not known.here:
            self._become(known, 0)
        if message.kind in (Kind.PULL, Kind.PIECE):
            super()._answer(message, length)
        elif not self.joined and self.pull is None:
            self._pull(message.sender.place)

    def _ask_again(self, member):
        pass

    def _step(self, now):
        if now < self.probe_at:
            return
        self.probe_at = now + self.rules.period
        self.serial += 1
        for member in list(self.members.values()):
            if member is self.me:
                continue
            self._send(member.place, Kind.PING, [self.serial, self.digest(), PAD])
            silent = now - self.heard.setdefault(member.name, now)
            if member.here and silent > SILENT * self.rules.period:
                self._become(member, GONE)
        if len(self.members) == 1:
            for place in self.rules.seeds:
                self._send(place, Kind.PING, [self.serial, self.digest(), PAD])
        if self.pull is not None and now >= self.pull[2]:
            self.pull = None
