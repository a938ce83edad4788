"""Stand-ins for hosts, store, platform, operator and clients, as the public protocol describes them.

For tests and for trying the system on loopback; no part of the system in service."""
