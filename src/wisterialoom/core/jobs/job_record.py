"""A deferred request as it is kept in the object API."""

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
"""Count of prefixes that jobs are listed by; each is one instance's duty."""

HEAD_RESERVE_BYTES = 4_000
"""Room for what is added to the head of a record later, in bytes."""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A job: the request, who works on it, and in the end its answer.

    Attributes:
        job_id: Identity and address of the job.
        caller: Name of the caller, who alone gets the answer.
        request: The request.
        traffic_class: Name of the traffic class.
        idempotent: A second run would do no harm.
        max_wait_s: Time within which it has to be served.
        accepted_at: Wall-clock time in seconds.
        state: How far it has come.
        holder: Nonce of the attempt in progress; empty if it waits.
        renewals: Raised by the holder as long as it works on it.
        attempts: Count of attempts that may have run.
        attempted_at: Wall-clock time of the first attempt; 0 if there was none.
        ended_at: Wall-clock time in seconds; 0 while it is open.
        body: The request's body; empty once the job has ended.
        answer: The answer; `None` while it is open, or if it was too large.
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
        """It never changes again."""
        return self.state in {JobState.DONE, JobState.UNKNOWN}

    def end(
        self, state: JobState, answer: StoredAnswer | None, wall: float
    ) -> JobRecord:
        """Return the record of the job's end, without what it needed to run."""
        ended = replace(
            self, state=state, answer=answer, holder="", body=b"", ended_at=wall
        )
        return ended if ended.fits else replace(ended, answer=None)

    @property
    def fits(self) -> bool:
        """An object can hold it, through to its end."""
        return len(self.encode()) + HEAD_RESERVE_BYTES <= MAX_OBJECT_BYTES

    def encode(self) -> bytes:
        """Return a line of JSON, then the request's body or the answer."""
        head = asdict(replace(self, body=b"", answer=None))
        head["state"] = self.state.value
        head["answered"] = self.answer is not None
        del head["body"], head["answer"]
        tail = encode_answer(self.answer) if self.answer else self.body
        return json.dumps(head, separators=(",", ":")).encode() + b"\n" + tail

    @classmethod
    def decode(cls, data: bytes) -> JobRecord:
        """Build from `encode`'s form."""
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
    """Return the number of a job's shard."""
    return int(short_hash(job_id), 16) % JOB_SHARDS


def job_key(job_id: str) -> str:
    """Return the key of a job's object."""
    return f"jobs/{job_shard(job_id)}/{job_id}"
