"""A fault to put into the source, and the files that list them."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Fault", "FaultFileError", "load_faults"]

FILES = "tests/mutations*.toml"


class FaultFileError(WisterialoomError):
    """Raised when a list of faults cannot be used."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A small change to the source that breaks one promise.

    Attributes:
        name: Unique name.
        promise: What it breaks.
        file: Source file, relative to the root of the project.
        find: Text that is there exactly once.
        replace: What takes its place.
        test: What pytest must find failing: paths or test ids, separated by blanks.
    """

    name: str
    promise: str
    file: str
    find: str
    replace: str
    test: str

    def apply(self, root: Path) -> None:
        """Change the file below a root.

        Raises:
            FaultFileError: The text is not there exactly once.
        """
        path = root / self.file
        text = path.read_text() if path.is_file() else ""
        count = text.count(self.find)
        if count != 1:
            raise FaultFileError(
                f"{self.name}: its text is {count} times in {self.file}; "
                "bring `find` up to date"
            )
        path.write_text(text.replace(self.find, self.replace))


def load_faults(root: Path) -> list[Fault]:
    """Read every list of faults below a root.

    Raises:
        FaultFileError: A list cannot be read, or a name stands twice.
    """
    faults: dict[str, Fault] = {}
    for path in sorted(root.glob(FILES)):
        for fault in _load(path):
            if fault.name in faults:
                raise FaultFileError(f"{fault.name} is listed twice; rename one")
            faults[fault.name] = fault
    return list(faults.values())


def _load(path: Path) -> list[Fault]:
    try:
        items = tomllib.loads(path.read_text())["mutation"]
        return [Fault(**item) for item in items]
    except (tomllib.TOMLDecodeError, KeyError, TypeError) as error:
        raise FaultFileError(
            f"{path.name}: {error}; use [[mutation]] tables with name, promise, "
            "file, find, replace and test"
        ) from error
