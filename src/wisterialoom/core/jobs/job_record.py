"""A job as it is stored in the object API."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, replace

from wisterialoom.core.claims.claim_answer import decode_answer, encode_answer
from wisterialoom.core.claims.claim_entry import short_hash
from wisterialoom.core.notice_job import JobState
from wisterialoom.core.object_store import MAX_OBJECT_BYTES
from wisterialoom.core.requests.request import Request, StoredAnswer

__all__ = ["JOB_SHARDS", "JobRecord", "job_key", "job_shard"]

JOB_SHARDS = 16
"""Number of key prefixes of jobs; one instance is responsible for each."""

HEAD_RESERVE_BYTES = 4_000
"""Space reserved for later additions to the head of a record, in bytes."""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job, with its request, its current holder and finally its answer.

    Attributes:
        job_id: Id of the job, also used in its address.
        caller: Name of the caller; no other caller gets the answer.
        request: The request.
        traffic_class: Name of the traffic class.
        idempotent: Whether the request may safely run more than once.
        max_wait_s: Time within which the job has to be served.
        accepted_at: Wall-clock time at which the job was accepted, in seconds.
        state: State of the job.
        holder: Nonce of the attempt that holds the lease; empty while the job waits.
        renewals: Number of lease renewals; each one changes the object's version.
        attempts: Number of attempts that may have run.
        attempted_at: Wall-clock time of the first attempt that may have run; 0 if there
            was none.
        ended_at: Wall-clock time at which the job ended; 0 until then.
        body: The request's body; empty once the job has ended.
        answer: The answer; `None` until the job has ended, or if it was too large.
    """

    job_id: str
    caller: str
    request: Request
    traffic_class: str
    idempotent: bool
    max_wait_s: float
    accepted_at: float
    state: JobState = JobState.WAITING
    holder: str = ""
    renewals: int = 0
    attempts: int = 0
    attempted_at: float = 0.0
    ended_at: float = 0.0
    body: bytes = b""
    answer: StoredAnswer | None = None

    @property
    def ended(self) -> bool:
        """Whether the job has ended, after which its record never changes."""
        return self.state in {JobState.DONE, JobState.UNKNOWN}

    def end(
        self, state: JobState, answer: StoredAnswer | None, wall_time: float
    ) -> JobRecord:
        """Return the record of the ended job, without the request's body."""
        ended = replace(
            self, state=state, answer=answer, holder="", body=b"", ended_at=wall_time
        )
        return ended if ended.fits else replace(ended, answer=None)

    @property
    def fits(self) -> bool:
        """Whether an object can hold the job until its end."""
        return len(self.encode()) + HEAD_RESERVE_BYTES <= MAX_OBJECT_BYTES

    def encode(self) -> bytes:
        """Encode as one line of JSON, followed by the request's body or the answer."""
        head = asdict(replace(self, body=b"", answer=None))
        head["state"] = self.state.value
        head["answered"] = self.answer is not None
        del head["body"], head["answer"]
        tail = encode_answer(self.answer) if self.answer else self.body
        return json.dumps(head, separators=(",", ":")).encode() + b"\n" + tail

    @classmethod
    def decode(cls, data: bytes) -> JobRecord:
        """Decode what `encode` returned."""
        line, _, tail = data.partition(b"\n")
        head = json.loads(line)
        request = head.pop("request")
        request["prefix_hashes"] = tuple(request["prefix_hashes"])
        state = JobState(head.pop("state"))
        answered = head.pop("answered")
        return cls(
            **head,
            request=Request(**request),
            state=state,
            body=b"" if answered else tail,
            answer=decode_answer(tail) if answered else None,
        )


def job_shard(job_id: str) -> int:
    """Return the number of the shard that a job belongs to."""
    return int(short_hash(job_id), 16) % JOB_SHARDS


def job_key(job_id: str) -> str:
    """Return the key of a job's object."""
    return f"jobs/{job_shard(job_id)}/{job_id}"
