"""Whose code runs; constructors that are given nothing else look here."""


class Running:
    """The machine whose process is doing something."""

    machine = None


running = Running()
