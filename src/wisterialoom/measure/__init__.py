"""Measures placement and routing policies under load, on a simulated clock."""
