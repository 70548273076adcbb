"""Emulators of the platform and of the backend servers.

The state machines do no I/O, so the same code runs on the virtual clock of the
simulation and behind an HTTP server.
"""
