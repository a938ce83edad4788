"""The errors of tallies."""

from ..errors import HopsailError


class TallyError(HopsailError):
    """An add that can't be stored, or stored bytes that can't be read."""
