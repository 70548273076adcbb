"""Request handling on an entry instance: admission, queueing, routing, retries.

This package performs no I/O; it consumes events and returns commands.
"""
