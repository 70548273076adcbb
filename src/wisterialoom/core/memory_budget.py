"""Bytes that a process may hold for the requests of its callers.

Load pattern: many callers send large bodies, or heads of very many short lines, at the
same time and stop just short of their end, or read their answers slowly. Each of these
is permitted; all together they take a process beyond the memory of its machine.
Ordinary callers send small requests, complete within a moment.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "HeldBytes",
    "MIN_FIELD_BYTES",
    "MemoryBudget",
    "max_connections",
    "max_passed_on",
    "parsed_bytes",
    "spare_bytes",
]

SMALL_BYTES = 65_536
"""Size up to which a request may use the part that is kept for small ones."""

SMALL_SHARE = 0.125
"""Part of the budget that only small requests may use."""

PROCESS_BYTES = 95_000_000
"""Memory of a process without requests, in a fleet of some hundred instances."""

USABLE_SHARE = 0.85
"""Part of the machine's memory that is planned for."""

COPIES = 2.5
"""Memory for each byte of a request: the body, its copy and the buffers to send it."""

CONNECTION_BYTES = 40_000
"""Memory planned for a connection with a request in progress."""

FIELD_BYTES = 280
"""Bytes that a header field counts as; parsed and copied, it takes 650 in memory."""

MIN_FIELD_BYTES = 4
"""Bytes of the shortest header field: a letter, a colon and the end of the line."""

ITEM_BYTES = 60
"""Bytes that an item of a list in a header counts as, once it is split."""


@dataclass(slots=True, eq=False)
class HeldBytes:
    """What is held for one request.

    Attributes:
        since: Monotonic time at which the request began to arrive.
        count: Number of bytes.
        complete: Whether the request has arrived completely; it is then not refused
            in favor of others.
    """

    since: float
    count: int = 0
    complete: bool = False


MAX_PASSED_ON, MIN_PASSED_ON = 400, 16
"""Requests of other instances that are passed on at the same time."""

OTHER_DESCRIPTORS = 100
"""Descriptors for what is neither a caller's connection nor one to a server."""


class MemoryBudget:
    """Admits bytes, and names the requests to refuse when there is no room.

    Attributes:
        limit: Number of bytes that may be held; `None` if there is no limit.
        used: Number of bytes that are held.
        holders: Requests for which bytes are held.
        freeing: Bytes of what was refused in favor of others and is not freed yet.
    """

    def __init__(self, limit: int | None = None) -> None:
        self.limit = limit
        self.used = 0
        self.holders: set[HeldBytes] = set()
        self.freeing: dict[HeldBytes, int] = {}

    @classmethod
    def from_memory(
        cls, memory_mb: float | None, max_body_bytes: int, max_head_bytes: int = 0
    ) -> MemoryBudget:
        """Return the budget of a process on a machine.

        Args:
            memory_mb: Memory of the machine; no limit if `None`.
            max_body_bytes: Largest body of a request; one always has room.
            max_head_bytes: Largest head; one of the shortest lines has room beside it.
        """
        if memory_mb is None:
            return cls()
        free = spare_bytes(memory_mb)
        lines = max_head_bytes // MIN_FIELD_BYTES
        largest = max_body_bytes + max_head_bytes + FIELD_BYTES * lines
        least = max(2 * max_body_bytes, int(largest / (1.0 - SMALL_SHARE)) + 1)
        return cls(max(int(0.75 * free / COPIES), least))

    def open(self, now: float) -> HeldBytes:
        """Begin to count the bytes of a request."""
        held = HeldBytes(now)
        self.holders.add(held)
        return held

    def reserve(self, now: float, held: HeldBytes, count: int) -> list[HeldBytes]:
        """Admit more bytes of a request.

        The request that has occupied most, in bytes times seconds, is refused first
        among those that have not arrived completely: a large one that is arriving
        quickly has a chance, and one that has stalled does not keep its bytes.

        Args:
            now: Monotonic time.
            held: The request; must be open.
            count: Number of bytes that have arrived.

        Returns:
            The requests to refuse. Their bytes are released; the request itself is
            among them if its bytes are not admitted.
        """
        held.count += count
        self.used += count
        refused: list[HeldBytes] = []
        while self.limit is not None and self.used > self._limit_for(held):
            incomplete = [other for other in self.holders if not other.complete]
            largest = max(
                incomplete,
                key=lambda other: (other.count * (now - other.since), other.count),
                default=held,
            )
            # Bytes of complete requests are released when these are answered.
            if largest.count <= SMALL_BYTES and held.count > SMALL_BYTES:
                largest = held
            self.release(largest)
            refused.append(largest)
            if largest is held:
                break
            self.freeing[largest] = largest.count
        return refused

    def resize(self, now: float, held: HeldBytes, count: int) -> list[HeldBytes]:
        """Hold so many bytes for a client in place of those before.

        Args:
            now: Monotonic time.
            held: What is held; it is opened if it is not.
            count: Number of bytes.

        Returns:
            What to refuse, as `reserve` does.
        """
        if held not in self.holders:
            held.count, held.since = 0, now
            if not count:
                return []
            self.holders.add(held)
        if count > held.count:
            return self.reserve(now, held, count - held.count)
        self.used -= held.count - count
        held.count = count
        if not count:
            self.release(held)
        return []

    def release(self, held: HeldBytes) -> None:
        """Release all bytes of a request; further calls have no effect."""
        self.freeing.pop(held, None)
        if held in self.holders:
            self.holders.remove(held)
            self.used -= held.count

    @property
    def is_freeing(self) -> bool:
        """Whether what is held and what is being freed are too much together.

        Nothing large should be added meanwhile.
        """
        if self.limit is None or not self.freeing:
            return False
        return self.used + sum(self.freeing.values()) > self.limit

    def has_room(self, count: int) -> bool:
        """Return whether so many bytes of an answer may be held.

        The part that is kept for small requests is left to them.
        """
        if self.limit is None:
            return True
        taken = self.used + sum(self.freeing.values())
        return taken + count <= self.limit * (1.0 - SMALL_SHARE)

    def _limit_for(self, held: HeldBytes) -> float:
        assert self.limit is not None
        share = 1.0 if held.count <= SMALL_BYTES else 1.0 - SMALL_SHARE
        return self.limit * share


def parsed_bytes(head: bytes) -> int:
    """Return the bytes that a head, or trailers, count as once they are parsed."""
    lines, items = head.count(b"\n"), head.count(b",")
    return len(head) + FIELD_BYTES * lines + ITEM_BYTES * items


def spare_bytes(memory_mb: float) -> float:
    """Return the memory for requests and connections on a machine."""
    return max(0.0, USABLE_SHARE * memory_mb * 1e6 - PROCESS_BYTES)


def max_connections(memory_mb: float | None, max_fds: int | None) -> int | None:
    """Return the number of callers' connections that a process keeps open.

    A quarter of the spare memory is for them, and two fifths of the descriptors: each
    request in progress needs one more for its server.
    """
    limits = []
    if memory_mb is not None:
        limits.append(0.25 * spare_bytes(memory_mb) / CONNECTION_BYTES)
    if max_fds is not None:
        limits.append(0.4 * max_fds)
    return max(64, int(min(limits))) if limits else None


def max_passed_on(memory_mb: float | None, max_fds: int | None) -> int:
    """Return the number of requests that are passed on for other instances at once.

    Callers come first: these get what their connections leave of the descriptors. Each
    has a connection to its server, and two from other instances, one being closed.
    """
    count = max_connections(memory_mb, max_fds)
    if count is None or max_fds is None:
        return MAX_PASSED_ON
    left = max_fds - 2 * count - OTHER_DESCRIPTORS
    return max(MIN_PASSED_ON, min(MAX_PASSED_ON, left // 3))
