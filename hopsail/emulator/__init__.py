"""The emulator of the fleet: the unchanged decision module over modelled hosts, discovery and clients."""
