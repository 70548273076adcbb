"""Deferred jobs; no I/O."""
