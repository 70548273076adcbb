"""Measures what the way through an entry instance costs a streamed request."""
