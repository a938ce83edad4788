"""Hosts that any data plane has lately sent a shared part: known before they report to keep it. No I/O."""

from collections import OrderedDict
from hashlib import blake2b

from ..model import SECOND

LASTING_NS = 5 * SECOND  # after that, hosts themselves have reported what they keep
MOST_PARTS = 16_384  # the one noted the longest ago goes first
MOST_HOSTS = 4  # of one part; the newest
KEY_BYTES = 8


def part_key(salt: str, identifier: str) -> str:
    """What a shared part under a salt is known by among data planes."""
    return blake2b(f"{salt} {identifier}".encode("utf-8", "surrogatepass"), digest_size=KEY_BYTES).hexdigest()


class RecentReaders:
    """By key of a part, the hosts that were sent it within `LASTING_NS`."""

    def __init__(self, most_parts: int = MOST_PARTS, most_hosts: int = MOST_HOSTS):
        self.most_parts, self.most_hosts = most_parts, most_hosts
        self._hosts: OrderedDict[str, OrderedDict[str, int]] = OrderedDict()  # key -> host -> ns of its end

    def __len__(self) -> int:
        return len(self._hosts)

    def note(self, now: int, key: str, host: str) -> None:
        """The host has been sent the part."""
        hosts = self._hosts.setdefault(key, OrderedDict())
        hosts[host] = now + LASTING_NS
        hosts.move_to_end(host)
        if len(hosts) > self.most_hosts:
            hosts.popitem(last=False)
        self._hosts.move_to_end(key)
        if len(self._hosts) > self.most_parts:
            self._hosts.popitem(last=False)

    def of(self, now: int, key: str) -> list[str]:
        """The hosts that were lately sent the part, the latest first."""
        hosts = self._hosts.get(key, {})
        return [host for host, until in reversed(hosts.items()) if until > now]
