"""Scenes to measure: a profile of the demand, and faults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.measure.workload import Profile

if TYPE_CHECKING:
    from wisterialoom.lab.deployment import Deployment

__all__ = [
    "SCENES",
    "EngineLost",
    "EntryLost",
    "Fault",
    "ObjectApiDown",
    "Scene",
    "open_scene",
]


@dataclass(frozen=True, slots=True)
class Fault:
    """Base class of faults.

    Attributes:
        at_s: Seconds from the start of the run.
    """

    at_s: float


@dataclass(frozen=True, slots=True)
class EngineLost(Fault):
    """An engine stops for good."""

    server: str


@dataclass(frozen=True, slots=True)
class EntryLost(Fault):
    """An entry instance stops for good."""

    entry: str


@dataclass(frozen=True, slots=True)
class ObjectApiDown(Fault):
    """The object API is down for `duration_s` seconds."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class Scene:
    """A profile with its faults.

    Attributes:
        name: Name of the scene.
        title: Short description.
        profile: How demand changes over time.
        faults: Faults that occur.
    """

    name: str
    title: str
    profile: Profile
    faults: tuple[Fault, ...] = ()

    def schedule_faults(self, deployment: Deployment, begin: float) -> None:
        """Schedule the faults, relative to a moment of the simulated clock."""
        for fault in self.faults:
            self._schedule(deployment, begin + fault.at_s, fault)

    def _schedule(self, deployment: Deployment, at: float, fault: Fault) -> None:
        world = deployment.world
        match fault:
            case EngineLost(server=server):
                world.schedule.at(at, lambda: deployment.kill_server(server))
            case EntryLost(entry=entry):
                world.schedule.at(at, lambda: deployment.kill_entry(entry))
            case ObjectApiDown(duration_s=duration_s):
                api = world.store_port.fault
                world.schedule.at(at, lambda: setattr(api, "down", True))
                world.schedule.at(at + duration_s, lambda: setattr(api, "down", False))


MONDAY = Profile(
    "monday",
    length_s=300.0,
    surge_at_s=60.0,
    surge_length_s=120.0,
    surge_factor=10.0,
)

SCENES = ("monday", "day", "engine-lost", "entry-lost", "object-api-down")


def open_scene(name: str, engine: str) -> Scene:
    """Return a scene by its name.

    Args:
        name: One of `SCENES`.
        engine: Engine that fails in the scene `engine-lost`.

    Raises:
        ValueError: There is no scene of this name.
    """
    match name:
        case "monday":
            return Scene(name, "every demand tenfold for 120 s", MONDAY)
        case "day":
            swings = Profile(name, length_s=600.0, swing=10.0, swing_period_s=300.0)
            return Scene(name, "each demand swings tenfold in its own phase", swings)
        case "engine-lost":
            lost = EngineLost(100.0, engine)
            return Scene(name, f"{engine} stops", Profile(name, 300.0), (lost,))
        case "entry-lost":
            lost_entry = EntryLost(100.0, "entry-2")
            return Scene(name, "entry-2 stops", Profile(name, 300.0), (lost_entry,))
        case "object-api-down":
            down = ObjectApiDown(60.0, 600.0)
            title = "the object API is down for 600 s"
            return Scene(name, title, Profile(name, 720.0), (down,))
        case _:
            raise ValueError(f"no scene {name!r}; use one of {', '.join(SCENES)}")
