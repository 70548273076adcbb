"""Executes the core's commands to the platform."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING, TypeAlias

from wisterialoom.core.fleet.instance_list import (
    InstanceListRead,
    InstanceListUnavailable,
    ReadInstanceList,
)
from wisterialoom.core.object_store import (
    DeleteObject,
    ListObjects,
    ObjectConflict,
    ObjectRead,
    ObjectsListed,
    ObjectTooLargeError,
    ObjectUnavailable,
    ObjectWritten,
    ReadObject,
    VersionConflictError,
    WatchObject,
    WriteObject,
)
from wisterialoom.object_api.client import PlatformUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from wisterialoom.core.message import Event
    from wisterialoom.object_api.client import PlatformClient

__all__ = ["PlatformCommand", "PlatformPort"]

ObjectCommand: TypeAlias = (
    ReadObject | WatchObject | WriteObject | DeleteObject | ListObjects
)
PlatformCommand: TypeAlias = ObjectCommand | ReadInstanceList


class PlatformPort:
    """Runs each command in a separate task and delivers the resulting event.

    Attributes:
        client: Client of the platform.
        deliver: Delivers an event to the core.
        tasks: Calls in progress.
        running: Whether commands are accepted; false before `start` and after
            `stop`.
    """

    def __init__(
        self, client: PlatformClient, deliver: Callable[[Event], None]
    ) -> None:
        self.client = client
        self.deliver = deliver
        self.tasks: set[asyncio.Task[None]] = set()
        self.running = False

    async def start(self) -> None:
        """Start accepting commands."""
        self.running = True

    async def stop(self) -> None:
        """Cancel the calls in progress, including watches, and await their end."""
        self.running = False
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def execute(self, command: PlatformCommand) -> None:
        """Start executing a command; its one resulting event is delivered later."""
        if not self.running:
            return
        task = asyncio.get_running_loop().create_task(self._run_and_deliver(command))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_and_deliver(self, command: PlatformCommand) -> None:
        if isinstance(command, ReadInstanceList):
            event = await self._read_instances()
        else:
            event = await self._run_object_command(command)
        self.deliver(event)

    async def _read_instances(self) -> Event:
        try:
            return InstanceListRead(await self.client.instances())
        except PlatformUnavailableError:
            return InstanceListUnavailable()

    async def _run_object_command(self, command: ObjectCommand) -> Event:
        key = command.prefix if isinstance(command, ListObjects) else command.key
        try:
            return await self._call(command)
        except VersionConflictError as error:
            return ObjectConflict(command.op, key, error.version)
        except ObjectTooLargeError:
            return ObjectUnavailable(command.op, key, ambiguous=False)
        except PlatformUnavailableError as error:
            return ObjectUnavailable(command.op, key, error.ambiguous)

    def _call(self, command: ObjectCommand) -> Coroutine[Any, Any, Event]:
        match command:
            case ReadObject(op, key, known_version):
                return self._read(op, key, known_version)
            case WatchObject(op, key, after):
                return self._watch(op, key, after)
            case WriteObject(op, key, body, expected):
                return self._write(op, key, body, expected)
            case DeleteObject(op, key, expected):
                return self._delete(op, key, expected)
            case ListObjects(op, prefix):
                return self._list(op, prefix)

    async def _read(self, op: str, key: str, known_version: int) -> Event:
        stored = await self.client.read(key, known_version)
        return ObjectRead(op, key, stored.version, stored.body)

    async def _watch(self, op: str, key: str, after: int) -> Event:
        stored = await self.client.watch(key, after)
        return ObjectRead(op, key, stored.version, stored.body)

    async def _write(self, op: str, key: str, body: bytes, expected: int) -> Event:
        return ObjectWritten(op, key, await self.client.write(key, body, expected))

    async def _delete(self, op: str, key: str, expected: int) -> Event:
        return ObjectWritten(op, key, await self.client.delete(key, expected))

    async def _list(self, op: str, prefix: str) -> Event:
        return ObjectsListed(op, prefix, await self.client.list(prefix))
