"""Runs the batch of an emulated engine on the clock of the event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from wisterialoom.standin.engine_batch import FirstToken

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from wisterialoom.standin.engine_batch import EngineBatch, Job

__all__ = ["BatchRunner"]


class _JobProgress:
    """Events that wake the task that waits for a job.

    Attributes:
        first: Set when the first token was generated.
        ended: Set when the last token was generated.
    """

    def __init__(self) -> None:
        self.first = asyncio.Event()
        self.ended = asyncio.Event()


class BatchRunner:
    """Advances a batch and wakes the tasks that wait for its tokens.

    Attributes:
        batch: The batch to advance.
        jobs: Progress of each job with a waiting task, by job id.
        timer: Scheduled call at the time of the next batch event.
    """

    def __init__(self, batch: EngineBatch) -> None:
        self.batch = batch
        self.jobs: dict[str, _JobProgress] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def generate(self, job: Job) -> AsyncGenerator[int, None]:
        """Run a job; yield the number of generated tokens whenever it grows.

        If the iteration is closed early, the job is removed from the batch.

        Raises:
            JobTooLargeError: If the job would never fit into the KV cache.
        """
        loop = asyncio.get_running_loop()
        self.batch.add_job(loop.time(), job)
        progress = self.jobs[job.job_id] = _JobProgress()
        self._advance()
        reported = 0
        try:
            await progress.first.wait()
            while reported < job.output_tokens:
                self._advance()
                count = job.output_tokens
                if not progress.ended.is_set():
                    count = self.batch.tokens(job.job_id)
                if count > reported:
                    reported = count
                    yield count
                if reported < job.output_tokens:
                    await asyncio.sleep(self.batch.step_s)
        finally:
            del self.jobs[job.job_id]
            if not progress.ended.is_set():
                self.batch.remove_job(loop.time(), job.job_id)
                self._advance()

    def _advance(self) -> None:
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
        at = self.batch.next_event_at()
        if at is not None:
            self.timer = loop.call_at(at, self._advance)
