"""Tallies: counters that any replica adds to, on either side of a partition, and that merge by origin."""
