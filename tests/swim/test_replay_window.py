"""Each datagram is accepted once."""

import pytest

from hopsail.swim.errors import DatagramRejectedError
from hopsail.swim.replay_window import ReplayWindow


def test_each_sequence_number_is_accepted_once_and_none_of_an_older_incarnation():
    window = ReplayWindow()
    for sequence in (1, 3, 2, 300):
        window.accept(5, sequence)
    for incarnation, sequence in ((5, 3), (5, 300), (5, 20), (4, 999)):
        with pytest.raises(DatagramRejectedError):
            window.accept(incarnation, sequence)
    window.accept(6, 1)
