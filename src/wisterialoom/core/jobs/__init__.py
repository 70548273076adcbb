"""Jobs, which are requests that are served later, without I/O."""
