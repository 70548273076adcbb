"""Claims of idempotency keys that are shared by all instances, without I/O."""
