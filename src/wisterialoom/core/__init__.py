"""Every decision of an entry instance, sans I/O.

Each part is a plain object with `handle(now, event) -> list[Command]`. Time,
random numbers and identity come in as arguments, so that many cores run side
by side in one process on one virtual clock.
"""
