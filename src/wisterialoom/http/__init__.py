"""The HTTP shell: turns callers' requests into events and commands into answers.

It decides nothing; `wisterialoom.core` does.
"""
