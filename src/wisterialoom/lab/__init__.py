"""A simulator: runs entry instances against fakes on one virtual clock."""
