"""Settings of a process and the operator's configuration: types, checker, items, views. No I/O."""
