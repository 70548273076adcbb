"""Functions for operators: applying the document and inspecting the deployment."""

from __future__ import annotations

from wisterialoom.operator.apply import Applied, apply, change
from wisterialoom.operator.difference import difference
from wisterialoom.operator.error import ConflictError, OutcomeUnknownError
from wisterialoom.operator.history import History, HistoryEntry
from wisterialoom.operator.label import LabelEdit
from wisterialoom.operator.platform import Platform

__all__ = [
    "Applied",
    "ConflictError",
    "History",
    "HistoryEntry",
    "LabelEdit",
    "OutcomeUnknownError",
    "Platform",
    "apply",
    "change",
    "difference",
]
