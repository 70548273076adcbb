"""Claims of idempotency keys over instances; no I/O."""
