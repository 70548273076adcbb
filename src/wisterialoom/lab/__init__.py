"""Small fakes on one virtual clock, and the tools that drive cores with them."""
