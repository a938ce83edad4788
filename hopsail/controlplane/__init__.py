"""The control plane: the operator's configuration, the view of hosts, weights, and their delivery."""
