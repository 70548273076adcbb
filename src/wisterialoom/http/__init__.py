"""HTTP servers and clients: translate requests to events and commands to answers.

All decisions are made in `wisterialoom.core`.
"""
