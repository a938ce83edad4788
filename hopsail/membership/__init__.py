"""Membership among all processes of the router fleet: data planes and control planes.

The protocol is that of `hopsail.swim`; this package has the node that runs it in these processes, and their
identities (role, zone and node in one name).
"""

from .node import Membership, SystemMember

__all__ = ["Membership", "SystemMember"]
