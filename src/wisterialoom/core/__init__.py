"""The decision logic of an entry instance, without any I/O.

Each part is a plain object with `handle(now, event) -> list[Command]`. Time,
random numbers and identity are passed in as arguments, so that many cores can run
in one process on one virtual clock.
"""
