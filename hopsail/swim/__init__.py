"""SWIM: the protocol by which members find out who is alive, without I/O, and a balancer's node that runs it.

`protocol.SwimProtocol` is the one core of membership. Two nodes run it on a loop and a UDP socket:
`node.SwimNode` here, for the first balancer (off unless its configuration has `view`), and
`hopsail.membership.Membership` for the processes of the router fleet.
"""
