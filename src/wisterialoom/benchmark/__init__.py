"""Measures the overhead that an entry instance adds to streamed requests."""
