"""Continuous batching of an emulated engine, without I/O.

Progress is counted in decoding steps of the batch. One step generates one token of
every request that is decoding, and takes longer when the batch holds more requests
than there are slots. The duration of a prefill is converted to steps as well. The
first and last token of a request are therefore due at step counts that are known when
the request starts, and no event per token is needed.
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
"""Rounding error, in steps, within which a token counts as generated."""


class JobTooLargeError(WisterialoomError):
    """Raised when a request can never fit into the KV cache."""


@dataclass(frozen=True, slots=True)
class BatchSettings:
    """Speed and limits of an engine.

    Attributes:
        slots: Number of concurrent requests above which steps slow down.
        max_batch: Maximum number of concurrent requests.
        kv_tokens: Capacity of the KV cache in tokens.
        prefix_blocks: Capacity of the prefix cache in blocks.
        block_tokens: Tokens per block of the prefix cache.
        first_token_s: Time to the first token for an empty prompt, in seconds.
        prefill_tokens_per_s: Prompt tokens processed per second.
        token_gap_s: Duration of one step at full speed, in seconds.
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
    """A request in the queue or the batch of the engine.

    Attributes:
        job_id: Id, unique among the queued and running jobs.
        model: Name of the model or adapter.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Number of tokens to generate, at least 1.
        priority: Jobs with a lower value start first.
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
        """Tokens of KV cache reserved while the job runs."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True, slots=True)
class BatchEvent:
    """Base of the events of a job.

    Attributes:
        at: Monotonic time of the event, in seconds.
        job_id: Id of the job.
    """

    at: float
    job_id: str


@dataclass(frozen=True, slots=True)
class FirstToken(BatchEvent):
    """The first token was generated."""


@dataclass(frozen=True, slots=True)
class LastToken(BatchEvent):
    """The last token was generated and the job was removed from the batch."""


@dataclass(frozen=True, slots=True)
class RunningJob:
    """A job in the batch.

    Attributes:
        job: The job.
        serial: Arrival number of the job.
        first_step: Step count at which the first token is generated.
        last_step: Step count at which the last token is generated.
    """

    job: Job
    serial: int
    first_step: float
    last_step: float


@dataclass
class EngineBatch:
    """The batch, its queue and its prefix cache.

    Attributes:
        settings: Speed and limits.
        at: Monotonic time up to which progress has been computed, in seconds.
        steps: Steps since the start.
        runs: Jobs in the batch, by job id.
        queue: Heap of (priority, arrival number, job). May contain jobs that were
            removed; `waiting` is authoritative.
        waiting: Arrival number of each queued job, by job id.
        kv_used: Reserved tokens of the KV cache.
        milestones: Heap of (step count, arrival number, job id, is last token) for the
            first and last token of each job. May contain entries of removed jobs.
        pending_events: Events not yet returned by `advance`.
        cache: The prefix cache.
        serials: Source of arrival numbers.
    """

    settings: BatchSettings = field(default_factory=BatchSettings)
    at: float = 0.0
    steps: float = 0.0
    runs: dict[str, RunningJob] = field(default_factory=dict)
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    waiting: dict[str, int] = field(default_factory=dict)
    kv_used: int = 0
    milestones: list[tuple[float, int, str, bool]] = field(default_factory=list)
    pending_events: list[BatchEvent] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.cache = PrefixCache(self.settings.prefix_blocks)
        self.serials = itertools.count()

    @property
    def kv_free(self) -> float:
        """Fraction of the KV cache that is free, from 0 to 1."""
        return 1.0 - self.kv_used / self.settings.kv_tokens

    @property
    def step_s(self) -> float:
        """Duration of one step at the current batch size, in seconds."""
        load = max(1.0, len(self.runs) / self.settings.slots)
        return self.settings.token_gap_s * load

    def check(self, job: Job) -> None:
        """Check that a job fits into an empty KV cache.

        Raises:
            JobTooLargeError: If the job can never fit.
        """
        if job.kv_tokens > self.settings.kv_tokens:
            raise JobTooLargeError(
                f"{job.job_id} needs {job.kv_tokens} tokens of KV cache of "
                f"{self.settings.kv_tokens}: shorten it"
            )

    def add_job(self, now: float, job: Job) -> None:
        """Add a job to the queue, and start it if there is capacity.

        Raises:
            JobTooLargeError: If the job can never fit into the KV cache.
        """
        self.check(job)
        self._advance_to(now)
        serial = next(self.serials)
        self.waiting[job.job_id] = serial
        heapq.heappush(self.queue, (job.priority, serial, job))
        self._admit()

    def remove_job(self, now: float, job_id: str) -> int:
        """Remove a job; return the number of tokens that it generated."""
        self._advance_to(now)
        self.waiting.pop(job_id, None)
        tokens = self.tokens(job_id)
        self._release(job_id)
        self._admit()
        return tokens

    def tokens(self, job_id: str) -> int:
        """Return the number of tokens that a job in the batch generated by `at`."""
        run = self.runs.get(job_id)
        if run is None or self.steps + STEP_TOLERANCE < run.first_step:
            return 0
        generated = int(self.steps - run.first_step + STEP_TOLERANCE) + 1
        return min(generated, run.job.output_tokens)

    def next_event_at(self) -> float | None:
        """Return the time of the next event if no job is added or removed."""
        if self.pending_events:
            return self.at
        self._drop_stale_milestones()
        if not self.milestones:
            return None
        return self.at + max(0.0, self.milestones[0][0] - self.steps) * self.step_s

    def advance(self, now: float) -> list[BatchEvent]:
        """Advance to a time; return the events since the previous call."""
        self._advance_to(now)
        pending_events, self.pending_events = self.pending_events, []
        return pending_events

    def _advance_to(self, now: float) -> None:
        while True:
            self._drop_stale_milestones()
            if not self.milestones:
                break
            steps, _, job_id, is_last = self.milestones[0]
            at = self.at + max(0.0, steps - self.steps) * self.step_s
            if at > now:
                break
            heapq.heappop(self.milestones)
            self.at, self.steps = at, max(self.steps, steps)
            self._process_milestone(job_id, is_last=is_last)
        if now > self.at:
            self.steps += (now - self.at) / self.step_s if self.runs else 0.0
            self.at = now

    def _process_milestone(self, job_id: str, *, is_last: bool) -> None:
        if not is_last:
            self.pending_events.append(FirstToken(self.at, job_id))
            return
        self._release(job_id)
        self.pending_events.append(LastToken(self.at, job_id))
        self._admit()

    def _drop_stale_milestones(self) -> None:
        while self.milestones:
            _, serial, job_id, _ = self.milestones[0]
            run = self.runs.get(job_id)
            if run is not None and run.serial == serial:
                return
            heapq.heappop(self.milestones)

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
            # Smaller jobs may not overtake a large job at the head of the queue,
            # because the large job could then wait forever.
            if full or self.kv_used + job.kv_tokens > self.settings.kv_tokens:
                return
            heapq.heappop(self.queue)
            del self.waiting[job.job_id]
            self._start(serial, job)

    def _start(self, serial: int, job: Job) -> None:
        self.kv_used += job.kv_tokens
        first_step = self.steps + self._prefill_s(job) / self.settings.token_gap_s
        # Adding the token count to `first_step` keeps rounding errors from placing the
        # last token before the first.
        last_step = first_step + (job.output_tokens - 1)
        self.runs[job.job_id] = RunningJob(job, serial, first_step, last_step)
        heapq.heappush(self.milestones, (first_step, serial, job.job_id, False))
        heapq.heappush(self.milestones, (last_step, serial, job.job_id, True))

    def _prefill_s(self, job: Job) -> float:
        hits = self.cache.lookup_and_store(self.at, job.model, job.prefix_hashes)
        uncached = max(0, job.prompt_tokens - hits * self.settings.block_tokens)
        return (
            self.settings.first_token_s + uncached / self.settings.prefill_tokens_per_s
        )
