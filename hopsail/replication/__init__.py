"""One replicated log per shard: elections, leases, membership changes, snapshots, and its durable storage."""
