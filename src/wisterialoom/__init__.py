"""Serving system that runs many language models on fewer accelerators."""

__all__ = ["__version__"]

__version__ = "0.1.0"
