"""Choice of a host for a request, and the budgets and queues around it. No I/O and no clock."""
