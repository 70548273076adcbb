"""Runs a stand-in engine's batch on the loop's clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from wisterialoom.standin.engine_batch import FirstToken

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from wisterialoom.standin.engine_batch import EngineBatch, Job

__all__ = ["BatchClock"]


class _Progress:
    """What a job's waiter has to know."""

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.ended = asyncio.Event()


class BatchClock:
    """Wakes whoever waits for a job's tokens.

    Attributes:
        batch: The batch.
        jobs: Progress of the jobs that someone waits for.
        timer: Next call at which something happens.
    """

    def __init__(self, batch: EngineBatch) -> None:
        self.batch = batch
        self.jobs: dict[str, _Progress] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def generate(self, job: Job) -> AsyncGenerator[int, None]:
        """Run a job; yield the count of tokens each time it has grown.

        The job leaves the batch when the iteration is closed early.

        Raises:
            JobTooLargeError: It would never fit into the KV cache.
        """
        loop = asyncio.get_running_loop()
        self.batch.join(loop.time(), job)
        progress = self.jobs[job.job_id] = _Progress()
        self._drive()
        told = 0
        try:
            await progress.first.wait()
            while told < job.output_tokens:
                self._drive()
                count = job.output_tokens
                if not progress.ended.is_set():
                    count = self.batch.tokens(job.job_id)
                if count > told:
                    told = count
                    yield count
                if told < job.output_tokens:
                    await asyncio.sleep(self.batch.step_s)
        finally:
            del self.jobs[job.job_id]
            if not progress.ended.is_set():
                self.batch.leave(loop.time(), job.job_id)
                self._drive()

    def _drive(self) -> None:
        loop = asyncio.get_running_loop()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for event in self.batch.advance(loop.time()):
            progress = self.jobs.get(event.job_id)
            if progress is None:
                continue
            if isinstance(event, FirstToken):
                progress.first.set()
            else:
                progress.ended.set()
        at = self.batch.next_at()
        if at is not None:
            self.timer = loop.call_at(at, self._drive)
