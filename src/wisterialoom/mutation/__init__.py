"""One-line faults put into a copy of the source, which the tests must find."""

from wisterialoom.mutation.fault import Fault, FaultFileError, load_faults
from wisterialoom.mutation.trial import Trial, Verdict

__all__ = ["Fault", "FaultFileError", "Trial", "Verdict", "load_faults"]
