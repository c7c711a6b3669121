"""Memory for answers that are being read or passed on.

Load: several servers at once that send bytes without end. A limit for each
answer alone does not keep their sum within the memory of the process.
"""

import weakref
from typing import Protocol


class Holder(Protocol):
    """Something that holds a part of an answer."""

    def give_way(self) -> None:
        """Drops what it holds."""


class AnswerMemory:
    """Counts the bytes of all answers that the process holds.

    If they exceed the limit, the largest unfinished answer gives way: an answer
    without end is larger than the sound ones beside it.

    Attributes:
        limit: Limit in bytes.
        unfinished: Bytes of each answer that is still being read.
        held: Bytes of these, and of the answers that are in use.
        given_way: Number of answers that gave way since the start.
    """

    def __init__(self, limit: float = float('inf')) -> None:
        self.limit = limit
        self.unfinished: dict[Holder, int] = {}
        self.held = 0
        self.given_way = 0

    def add(self, holder: Holder, size: int) -> None:
        """Counts bytes that an unfinished answer has grown by."""
        self.unfinished[holder] = self.unfinished.get(holder, 0) + size
        self.held += size
        while self.unfinished and self.held > self.limit:
            largest = max(self.unfinished, key=self.unfinished.__getitem__)
            self.drop(largest)
            self.given_way += 1
            largest.give_way()

    def drop(self, holder: Holder) -> None:
        """Forgets an unfinished answer."""
        self.held -= self.unfinished.pop(holder, 0)

    def finish(self, holder: Holder, answer: object) -> None:
        """Counts an answer as finished until it is dropped by all its users."""
        size = self.unfinished.pop(holder, 0)
        if size:
            weakref.finalize(answer, self.release, size)

    def release(self, size: int) -> None:
        """Forgets a finished answer."""
        self.held -= size
