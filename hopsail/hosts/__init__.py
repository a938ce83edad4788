"""View of the platform's list of hosts, merged monotonically; no I/O and no clocks."""
