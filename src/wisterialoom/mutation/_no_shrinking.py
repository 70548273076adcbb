"""Pytest plugin that disables shrinking in Hypothesis, since any failure will do."""

from __future__ import annotations

from hypothesis import Phase, settings

__all__: list[str] = []

settings.register_profile(
    "no-shrinking", phases=(Phase.explicit, Phase.reuse, Phase.generate)
)
settings.load_profile("no-shrinking")
