"""`python -m hopsail.dataplane`: one balancer with the settings in the file that HOPSAIL_CONFIG names."""

import sys

from ..process import main
from .plane import DataPlane

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from .command_line import run

        run(sys.argv[1:])
    else:
        main(DataPlane)
