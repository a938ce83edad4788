"""The data plane: carries clients' requests to model hosts."""
