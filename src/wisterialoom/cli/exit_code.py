"""Exit codes of the command line."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import SelectorError
from wisterialoom.core.fault import InvalidInputError
from wisterialoom.core.object_store import ObjectTooLargeError, VersionConflictError
from wisterialoom.object_api.client import PlatformUnavailableError
from wisterialoom.operator.error import ConflictError, OutcomeUnknownError

if TYPE_CHECKING:
    from wisterialoom.core.error import WisterialoomError

__all__ = ["EXIT_CODES_HELP", "ExitCode", "exit_code"]


class ExitCode(enum.IntEnum):
    """Exit code of a command; `EXIT_CODES_HELP` describes each of them."""

    OK = 0
    FAULTS = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    ATTENTION = 6


EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  1  a document or settings file has faults
  2  wrong usage of the command line
  3  conflict with another operator's change
  4  the platform is unavailable; nothing was written
  5  the platform stopped responding; a write may have happened
  6  the deployment needs attention (status)
"""


def exit_code(error: WisterialoomError) -> ExitCode:
    """Return the exit code for an error."""
    match error:
        case ConflictError() | VersionConflictError():
            return ExitCode.CONFLICT
        case OutcomeUnknownError():
            return ExitCode.UNKNOWN
        case PlatformUnavailableError():
            return ExitCode.UNAVAILABLE
        case InvalidInputError() | SelectorError() | ObjectTooLargeError():
            return ExitCode.FAULTS
    return ExitCode.FAULTS
