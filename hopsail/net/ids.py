"""The ids of requests that came lately: a second request under one of them is not its client's, and cache
hosts would take it for another copy of the first. Both processes of an upgrade look into one table.

The table is a run of bytes, the process's own or a mapped file. A bucket holds eight entries; an entry is the
id's digest with the second in which it came in place of its lowest byte. Nothing is locked: what two
processes write in the same microsecond may cost one entry, and never more than that."""

from struct import Struct

from ..standing import number
from ..model import SECOND

BUCKETS = 8192  # of eight entries: with 10,000 ids in 6 s one in a thousand is forgotten sooner at most
ENTRIES = Struct("<8Q")
ENTRY = Struct("<Q")
TABLE_BYTES = BUCKETS * ENTRIES.size  # 512 KiB
ID_TIME = 6  # seconds that an id is known at least: longer than a retrieval and its legs take
SECONDS = 256  # in the round of an entry's clock


class Ids:
    def __init__(self, table=None):
        self.table = bytearray(TABLE_BYTES) if table is None else table

    def new(self, trace: bytes, now: int) -> bool:
        """Whether the id has not come before; from now on it has."""
        digest, second = number(trace), now // SECOND
        name, at = digest >> 8, digest % BUCKETS * ENTRIES.size
        best, longest = 0, -1
        for i, entry in enumerate(ENTRIES.unpack_from(self.table, at)):
            # An entry of no id looks as if it had come long ago, or is taken over as the oldest.
            age = (second - entry) % SECONDS if entry else SECONDS
            if entry >> 8 == name and age <= ID_TIME:
                return False
            if age > longest:
                best, longest = i, age
        ENTRY.pack_into(self.table, at + best * ENTRY.size, name << 8 | second % SECONDS)
        return True
