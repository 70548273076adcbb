"""The product's own placement: lease, journal and planner of each engine; no I/O."""
