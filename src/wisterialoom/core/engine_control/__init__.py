"""Model placement on engines: leases, order journals and planners; no I/O."""
