"""Mutations of the source, and the files that list them."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Mutation", "MutationFileError", "load_mutations"]

MUTATION_FILES = "tests/mutations*.toml"


class MutationFileError(WisterialoomError):
    """Raised when a list of mutations is invalid."""


@dataclass(frozen=True, slots=True)
class Mutation:
    """A small change of the source that breaks a promise of the project.

    Attributes:
        name: Unique name.
        promise: Promise that the change breaks.
        file: Source file, relative to the root of the project.
        find: Text to replace, which must occur exactly once in the file.
        replace: Replacement text.
        test: Paths or test ids of which one must fail, separated by spaces.
    """

    name: str
    promise: str
    file: str
    find: str
    replace: str
    test: str

    def apply(self, root: Path) -> None:
        """Apply the change to the file below a root directory.

        Raises:
            MutationFileError: The text does not occur exactly once.
        """
        path = root / self.file
        text = path.read_text() if path.is_file() else ""
        count = text.count(self.find)
        if count != 1:
            raise MutationFileError(
                f"{self.name}: `find` occurs {count} times in {self.file} instead of "
                "once; update it"
            )
        path.write_text(text.replace(self.find, self.replace))


def load_mutations(root: Path) -> list[Mutation]:
    """Read all lists of mutations below a root directory.

    Raises:
        MutationFileError: A list is invalid, or a name occurs twice.
    """
    mutations: dict[str, Mutation] = {}
    for path in sorted(root.glob(MUTATION_FILES)):
        for mutation in _load(path):
            if mutation.name in mutations:
                raise MutationFileError(
                    f"{mutation.name} is listed twice; rename one of them"
                )
            mutations[mutation.name] = mutation
    return list(mutations.values())


def _load(path: Path) -> list[Mutation]:
    try:
        items = tomllib.loads(path.read_text())["mutation"]
        return [Mutation(**item) for item in items]
    except (tomllib.TOMLDecodeError, KeyError, TypeError) as error:
        raise MutationFileError(
            f"{path.name}: {error}; use [[mutation]] tables with name, promise, "
            "file, find, replace and test"
        ) from error
