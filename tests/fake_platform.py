"""An in-memory object API with races and writes of unknown outcome."""

from wisterialoom.core.fleet.instance_list import InstanceList
from wisterialoom.object_api.client import PlatformUnavailableError
from wisterialoom.standin.object_store import ObjectStore


class FakePlatform:
    """Injects a list of faults, one for each write of the document.

    Attributes:
        store: The objects.
        faults: Faults of the next writes: `lost call`, `lost answer`,
            `lost answer, down` (followed by an outage), `race` (another write comes
            first), `refused`, or "" for none.
        rival: Text of the document that the other write stores.
        down: Whether every call fails.
        listing: The instance list.
    """

    def __init__(self, faults=(), rival=b"rival"):
        self.store = ObjectStore()
        self.faults = list(faults)
        self.rival = rival
        self.down = False
        self.listing = InstanceList()

    async def read(self, key):
        self.check_reachable("read")
        return self.store.read(key)

    async def write(self, key, body, expected):
        self.check_reachable("write")
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
        """Write like another operator's command, which also extends the history."""
        seen = self.store.read(key)
        history_key = f"config/history/{seen.version:020d}"
        if self.store.read(history_key).version == 0:
            self.store.write(history_key, seen.body, 0)
        self.store.write(key, self.rival, seen.version)

    async def delete(self, key, expected):
        self.check_reachable("delete")
        return self.store.delete(key, expected)

    async def list(self, prefix):
        self.check_reachable("list")
        return self.store.list(prefix)

    async def instances(self):
        self.check_reachable("instances")
        return self.listing

    def check_reachable(self, what):
        if self.down:
            raise PlatformUnavailableError(what, "down", ambiguous=what == "write")
