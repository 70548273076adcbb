"""Randomized soak: the role as real processes, faults from outside them."""
