"""Tells answers about a past state of the store from current ones.

An answer may come late, or from a copy of the store that lags behind; it then looks
like one that nothing has changed. The revisions that earlier answers and other
instances have named show that the store had gone further.
"""

from __future__ import annotations

from collections import deque

from wisterialoom.core.fleet.revision import FIRST_REVISION, Revision

__all__ = ["StoreProgress"]

MAX_PAST_S = 10.0
"""Time for which answers from before a known revision are ignored.

A store that stays behind for longer was set up anew without naming another era.
"""

MAX_PROOFS = 32
"""Answers that are remembered; some seconds of a watcher, or of lease renewals."""

PROOF_MARGIN_S = 0.3
"""Age that a proof must have before it contradicts another instance's claim.

It covers the time that the claim was under way.
"""


class StoreProgress:
    """Revisions that the store is known to have reached.

    Attributes:
        latest: Latest revision that an answer or another instance named.
        proofs: Revisions that answers named, with the monotonic times of the answers.
        past_since: Monotonic time of the first answer from before the latest revision,
            if all later ones were, too.
    """

    def __init__(self) -> None:
        self.latest = FIRST_REVISION
        self.proofs: deque[tuple[float, Revision]] = deque(maxlen=MAX_PROOFS)
        self.past_since: float | None = None

    def record_report(self, revision: Revision) -> None:
        """Record a revision that another instance has read."""
        self.latest = max(self.latest, revision)

    def record_answer(self, now: float, revision: Revision) -> None:
        """Record a revision that an answer of the store has just named."""
        self.latest = max(self.latest, revision)
        self.proofs.append((now, revision))

    def is_past(self, now: float, known: Revision, found: Revision) -> bool:
        """Record the revision of an answer; return whether it is about a past state.

        Args:
            now: Monotonic time in seconds.
            known: Latest revision that was known when the call was sent.
            found: Revision that the answer is current for.
        """
        if found >= known:
            self.past_since = None
            self.record_answer(now, found)
            return False
        if self.past_since is None:
            self.past_since = now
        if now - self.past_since <= MAX_PAST_S:
            return True
        self.past_since = None
        self.latest = found
        self.proofs.clear()
        return False

    def disproves(self, revision: Revision, current_at: float) -> bool:
        """Return whether a view of the store cannot have been current at a time.

        Args:
            revision: Revision of the view.
            current_at: Monotonic time at which it is claimed to have been current.
        """
        return any(
            found > revision and named_at <= current_at - PROOF_MARGIN_S
            for named_at, found in self.proofs
        )
