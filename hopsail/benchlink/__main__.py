"""Reads batches from standard input and answers each on standard output until the input ends."""

import gc
import sys
from struct import error as StructError

from .codec import Link, WireError, read_batch


def main() -> int:
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    link = Link()
    gc.freeze()
    try:
        while (batch := read_batch(source)) is not None:
            sink.write(link.answer(batch))
            sink.flush()
    except (WireError, StructError) as fault:
        print(f"benchlink: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
