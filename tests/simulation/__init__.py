"""A seeded simulation of the whole control side: the programs' own code on a simulated clock and network."""
