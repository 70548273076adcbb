"""Documents of the configuration: reading, checking, following and relaying; no I/O."""
