"""Tests of wisterialoom; each module mirrors one of the package."""
