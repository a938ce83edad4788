"""Keyed changes handed on by long polls: a journal and its publisher, a follower and its folded state."""
