"""Small stand-ins for the platform and the backend servers.

The models are sans I/O, so that the same code answers on a virtual clock and
behind an HTTP server.
"""
