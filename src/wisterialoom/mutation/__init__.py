"""Mutation testing: applies listed faults to copies of the source, and runs tests."""

from wisterialoom.mutation.mutation import load_mutations, Mutation, MutationFileError
from wisterialoom.mutation.trial import Trial, Verdict

__all__ = ["Mutation", "MutationFileError", "Trial", "Verdict", "load_mutations"]
