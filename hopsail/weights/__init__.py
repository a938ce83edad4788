"""Roll-out of new model weights to hosts; no I/O and no clocks."""
