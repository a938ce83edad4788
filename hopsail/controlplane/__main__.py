"""`python -m hopsail.controlplane`: one control process with the settings that HOPSAIL_CONFIG names."""

import sys

from .. import early  # noqa: F401, I001  # first: it notes the time of the start
from ..process import main
from .plane import ControlPlane

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from ..commands import check_settings

        check_settings(sys.argv[1:])
    else:
        main(ControlPlane)
