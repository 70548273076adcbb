"""The path of a request through the product's own interface; no I/O."""
