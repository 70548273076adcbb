"""Continuous batching of a stand-in engine, sans I/O.

Progress is counted in steps of the batch: one step yields one token of every
request that decodes. Steps take longer when the batch is larger than the slots.
A request's prompt is worth a number of steps too, so that each request's first
and last token come at fixed step counts, and no event per token is needed.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

from wisterialoom.core.error import WisterialoomError
from wisterialoom.standin.prefix_cache import PrefixCache

__all__ = [
    "BatchEvent",
    "BatchSettings",
    "EngineBatch",
    "FirstToken",
    "Job",
    "JobTooLargeError",
    "LastToken",
]

STEP_TOLERANCE = 1e-6
"""Steps by which rounding may miss a token."""


class JobTooLargeError(WisterialoomError):
    """Raised when a request would never fit into the KV cache."""


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Speed and limits of an engine.

    Attributes:
        slots: Requests at once before steps slow down.
        max_batch: Requests at once at most.
        kv_tokens: Tokens that fit into the KV cache.
        prefix_blocks: Blocks that the prefix cache holds.
        block_tokens: Tokens of a block.
        first_token_s: Time to the first token of an empty prompt.
        prefill_tokens_per_s: Prompt tokens computed each second.
        token_gap_s: Time of one step at full speed.
    """

    slots: int = 8
    max_batch: int = 32
    kv_tokens: int = 200_000
    prefix_blocks: int = 2_000
    block_tokens: int = 64
    first_token_s: float = 0.1
    prefill_tokens_per_s: float = 8_000.0
    token_gap_s: float = 0.03


@dataclass(frozen=True, slots=True)
class Job:
    """One request as the engine sees it.

    Attributes:
        job_id: Unique among the requests that the engine holds.
        model: Model or adapter.
        prompt_tokens: Length of the prompt.
        output_tokens: Tokens to generate, at least 1.
        priority: Lower goes first.
        prefix_hashes: Hashes of the prompt's leading blocks.
    """

    job_id: str
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 1
    priority: int = 0
    prefix_hashes: tuple[int, ...] = ()

    @property
    def kv_tokens(self) -> int:
        """KV cache that is reserved from its start to its end."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class BatchEvent:
    """Something happened to a job."""

    at: float
    job_id: str


@dataclass(frozen=True, slots=True)
class FirstToken(BatchEvent):
    """The first token was generated."""


@dataclass(frozen=True, slots=True)
class LastToken(BatchEvent):
    """The last token was generated; the job has left."""


@dataclass(frozen=True, slots=True)
class Run:
    """A job in the batch, with the step counts of its tokens."""

    job: Job
    serial: int
    first: float
    last: float


@dataclass
class EngineBatch:
    """The batch, the queue in front of it, and the prefix cache.

    Attributes:
        settings: Speed and limits.
        at: Monotonic time up to which progress is counted.
        steps: Steps since the start.
        runs: Jobs in the batch.
        queue: Waiting jobs by priority, then by arrival.
        waiting: Ids of waiting jobs.
        kv_used: Reserved tokens of the KV cache.
        cache: The prefix cache.
    """

    settings: BatchSettings = field(default_factory=BatchSettings)
    at: float = 0.0
    steps: float = 0.0
    runs: dict[str, Run] = field(default_factory=dict)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    waiting: dict[str, int] = field(default_factory=dict)
    kv_used: int = 0
    marks: list[tuple[float, int, str, bool]] = field(default_factory=list)
    happened: list[BatchEvent] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.settings.prefix_blocks)
        self.serials = itertools.count()

    @property
    def kv_free(self) -> float:
        """Share of the KV cache that is free, from 0 to 1."""
        return 1.0 - self.kv_used / self.settings.kv_tokens

    @property
    def step_s(self) -> float:
        """Time of one step with the batch as it is."""
        load = max(1.0, len(self.runs) / self.settings.slots)
        return self.settings.token_gap_s * load

    def check(self, job: Job) -> None:
        """Check that a job can ever run.

        Raises:
            JobTooLargeError: It would never fit into the KV cache.
        """
        if job.kv_tokens > self.settings.kv_tokens:
            raise JobTooLargeError(
                f"{job.job_id} needs {job.kv_tokens} tokens of KV cache of "
                f"{self.settings.kv_tokens}: shorten it"
            )

    def join(self, now: float, job: Job) -> None:
        """Add a job to the queue.

        Raises:
            JobTooLargeError: It would never fit into the KV cache.
        """
        self.check(job)
        self._run_until(now)
        serial = next(self.serials)
        self.waiting[job.job_id] = serial
        heapq.heappush(self.queue, (job.priority, serial, job))
        self._admit()

    def leave(self, now: float, job_id: str) -> int:
        """Take a job out; return how many tokens it had generated."""
        self._run_until(now)
        self.waiting.pop(job_id, None)
        tokens = self.tokens(job_id)
        self._release(job_id)
        self._admit()
        return tokens

    def tokens(self, job_id: str) -> int:
        """Return how many tokens a job in the batch has generated by `at`."""
        run = self.runs.get(job_id)
        if run is None or self.steps + STEP_TOLERANCE < run.first:
            return 0
        generated = int(self.steps - run.first + STEP_TOLERANCE) + 1
        return min(generated, run.job.output_tokens)

    def next_at(self) -> float | None:
        """Return when the next event happens if nothing joins or leaves."""
        if self.happened:
            return self.at
        self._drop_stale_marks()
        if not self.marks:
            return None
        return self.at + max(0.0, self.marks[0][0] - self.steps) * self.step_s

    def advance(self, now: float) -> list[BatchEvent]:
        """Let time pass; return what has happened since the last call."""
        self._run_until(now)
        happened, self.happened = self.happened, []
        return happened

    def _run_until(self, now: float) -> None:
        while True:
            self._drop_stale_marks()
            if not self.marks:
                break
            steps, _, job_id, last = self.marks[0]
            at = self.at + max(0.0, steps - self.steps) * self.step_s
            if at > now:
                break
            heapq.heappop(self.marks)
            self.at, self.steps = at, max(self.steps, steps)
            self._reach(job_id, last=last)
        if now > self.at:
            self.steps += (now - self.at) / self.step_s if self.runs else 0.0
            self.at = now

    def _reach(self, job_id: str, *, last: bool) -> None:
        if not last:
            self.happened.append(FirstToken(self.at, job_id))
            return
        self._release(job_id)
        self.happened.append(LastToken(self.at, job_id))
        self._admit()

    def _drop_stale_marks(self) -> None:
        while self.marks:
            _, serial, job_id, _ = self.marks[0]
            run = self.runs.get(job_id)
            if run is not None and run.serial == serial:
                return
            heapq.heappop(self.marks)

    def _release(self, job_id: str) -> None:
        run = self.runs.pop(job_id, None)
        if run is not None:
            self.kv_used -= run.job.kv_tokens

    def _admit(self) -> None:
        while self.queue:
            _, serial, job = self.queue[0]
            if self.waiting.get(job.job_id) != serial:
                heapq.heappop(self.queue)
                continue
            full = len(self.runs) >= self.settings.max_batch
            # A large job at the head is not overtaken, or it might never fit.
            if full or self.kv_used + job.kv_tokens > self.settings.kv_tokens:
                return
            heapq.heappop(self.queue)
            del self.waiting[job.job_id]
            self._start(serial, job)

    def _start(self, serial: int, job: Job) -> None:
        self.kv_used += job.kv_tokens
        first = self.steps + self._prompt_s(job) / self.settings.token_gap_s
        # In this order rounding never puts the last token before the first.
        last = first + (job.output_tokens - 1)
        self.runs[job.job_id] = Run(job, serial, first, last)
        heapq.heappush(self.marks, (first, serial, job.job_id, False))
        heapq.heappush(self.marks, (last, serial, job.job_id, True))

    def _prompt_s(self, job: Job) -> float:
        hits = self.cache.use(self.at, job.model, job.prefix_hashes)
        uncached = max(0, job.prompt_tokens - hits * self.settings.block_tokens)
        return (
            self.settings.first_token_s + uncached / self.settings.prefill_tokens_per_s
        )
