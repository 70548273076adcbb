"""Measures the policy under load, on the virtual clock, with a fixed seed."""
