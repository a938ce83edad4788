"""A view of the fleet that the balancers keep themselves; off unless the configuration has `view`."""
