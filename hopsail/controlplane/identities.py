"""Identities of control processes: the address at which a process listens for others, as text."""


def address_of(identity: str) -> tuple[str, int]:
    """The IP address and the port; ValueError for what is no identity."""
    host, _, port = identity.rpartition(":")
    return host, int(port)
