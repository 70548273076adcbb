"""Generation of one response by an emulated engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.standin.answer import Answer
    from wisterialoom.standin.batch_runner import BatchRunner
    from wisterialoom.standin.engine_batch import Job

__all__ = ["Generation", "GenerationStoppedError"]

RETENTION_S = 5.0
"""Time in seconds for which a complete response can still be resumed."""


class GenerationStoppedError(WisterialoomError):
    """Raised when a generation is stopped before it is complete."""


class Generation:
    """Generates the tokens of a response, whether or not a client reads them.

    Attributes:
        batch_runner: Advances the batch.
        job: Job of the request in the batch.
        answer: The response.
        count: Number of tokens generated so far.
        count_changed: Event that is set, and then replaced, when `count` changes.
        task: Runs the job, then keeps the response for `RETENTION_S` seconds.
    """

    def __init__(self, batch_runner: BatchRunner, job: Job, answer: Answer) -> None:
        self.batch_runner = batch_runner
        self.job = job
        self.answer = answer
        self.count = 0
        self.count_changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all tokens have been generated."""
        return self.count >= self.job.output_tokens

    def start(self, on_ended: Callable[[], None]) -> None:
        """Start to generate.

        Args:
            on_ended: Called once, when the response is no longer kept.
        """
        self.task = asyncio.get_running_loop().create_task(self._run())
        self.task.add_done_callback(lambda _: on_ended())
        # Wakes the callers of `wait_for`, which would otherwise wait forever.
        self.task.add_done_callback(lambda _: self.count_changed.set())

    async def _run(self) -> None:
        tokens = self.batch_runner.generate(self.job)
        try:
            async for count in tokens:
                self.count = count
                self.count_changed.set()
                self.count_changed = asyncio.Event()
        finally:
            await tokens.aclose()
        await asyncio.sleep(RETENTION_S)

    async def stop(self) -> None:
        """Remove the job from the batch and discard the response."""
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def wait_for(self, count: int) -> int:
        """Wait until at least `count` tokens exist; return how many exist.

        Raises:
            GenerationStoppedError: If the generation stopped with fewer tokens.
        """
        while self.count < count:
            if self.task is None or self.task.done():
                raise GenerationStoppedError("the answer was stopped: ask again")
            await self.count_changed.wait()
        return self.count
