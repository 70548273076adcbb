"""One request that a stand-in engine is answering."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.standin.answer import Answer
    from wisterialoom.standin.batch_clock import BatchClock
    from wisterialoom.standin.engine_batch import Job

__all__ = ["Generation", "GenerationStoppedError"]

KEPT_S = 5.0
"""Time for which a resumable answer is kept once it is whole."""


class GenerationStoppedError(WisterialoomError):
    """Raised when an answer stops before it is whole."""


class Generation:
    """Generates an answer's tokens, whoever reads them.

    Attributes:
        clock: Runs the batch.
        job: The request in the batch.
        answer: The answer.
        count: Tokens generated.
        task: Runs the job; keeps the answer for a while afterwards.
    """

    def __init__(self, clock: BatchClock, job: Job, answer: Answer) -> None:
        self.clock = clock
        self.job = job
        self.answer = answer
        self.count = 0
        self.grown = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    @property
    def whole(self) -> bool:
        """Whether every token was generated."""
        return self.count >= self.job.output_tokens

    def start(self, ended: Callable[[], None]) -> None:
        """Start to generate.

        Args:
            ended: Called once, when nothing of it is left.
        """
        self.task = asyncio.get_running_loop().create_task(self._run())
        self.task.add_done_callback(lambda _: ended())
        # Whoever still waits must not wait for ever.
        self.task.add_done_callback(lambda _: self.grown.set())

    async def _run(self) -> None:
        tokens = self.clock.generate(self.job)
        try:
            async for count in tokens:
                self.count = count
                self.grown.set()
                self.grown = asyncio.Event()
        finally:
            await tokens.aclose()
        await asyncio.sleep(KEPT_S)

    async def stop(self) -> None:
        """Leave the batch and forget the answer."""
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def wait_for(self, count: int) -> int:
        """Wait for at least so many tokens; return how many there are.

        Raises:
            GenerationStoppedError: So many will not come.
        """
        while self.count < count:
            if self.task is None or self.task.done():
                raise GenerationStoppedError("the answer was stopped: ask again")
            await self.grown.wait()
        return self.count
