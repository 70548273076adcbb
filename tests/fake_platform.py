"""An object API in memory, with races and writes of unknown outcome."""

from wisterialoom.core.fleet.instance_list import InstanceList
from wisterialoom.object_api.client import PlatformUnavailableError
from wisterialoom.standin.object_store import ObjectStore


class FakePlatform:
    """Plays faults from a list, one for each write of the document.

    Attributes:
        store: The objects.
        faults: What happens to the next writes: `lost call`, `lost answer`,
            `race` (another write comes first), `refused`, or "".
        down: Every call fails.
    """

    def __init__(self, faults=(), rival=b"rival"):
        self.store = ObjectStore()
        self.faults = list(faults)
        self.rival = rival
        self.down = False
        self.listing = InstanceList()

    async def read(self, key):
        self.check("read")
        return self.store.read(key)

    async def write(self, key, body, expected):
        self.check("write")
        fault = ""
        if key == "config/document" and self.faults:
            fault = self.faults.pop(0)
        if fault == "race":
            self.race(key)
        if fault == "refused":
            raise PlatformUnavailableError("write", fault, ambiguous=False)
        if fault == "lost call":
            raise PlatformUnavailableError("write", fault, ambiguous=True)
        version = self.store.write(key, body, expected).version
        if fault == "lost answer":
            raise PlatformUnavailableError("write", fault, ambiguous=True)
        if fault == "lost answer, down":
            self.down = True
            raise PlatformUnavailableError("write", fault, ambiguous=True)
        return version

    def race(self, key):
        """Write as another operator's command does: what it replaces is kept."""
        seen = self.store.read(key)
        kept = f"config/history/{seen.version:020d}"
        if self.store.read(kept).version == 0:
            self.store.write(kept, seen.body, 0)
        self.store.write(key, self.rival, seen.version)

    async def delete(self, key, expected):
        self.check("delete")
        return self.store.delete(key, expected)

    async def list(self, prefix):
        self.check("list")
        return self.store.list(prefix)

    async def instances(self):
        self.check("instances")
        return self.listing

    def check(self, what):
        if self.down:
            raise PlatformUnavailableError(what, "down", ambiguous=what == "write")
