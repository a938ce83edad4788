"""Load on sockets, loopback only: stand-ins for all that a balancer talks to, and an open-loop generator."""
