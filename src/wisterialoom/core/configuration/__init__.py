"""The configuration document: reading, checking and distribution, without I/O."""
