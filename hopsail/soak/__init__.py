"""A soak of the real programs on loopback: seeded series of faults that overlap, and a verdict.

See docs/soak.md."""
