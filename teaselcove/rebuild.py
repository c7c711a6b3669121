"""Rebuild of a configuration from the newest snapshot and the log's tail.

A rebuild performs no I/O: it says what to read next and takes what was read.
Hosts and commands drive the same rebuild.
"""

from enum import Enum
from typing import Any

import msgspec

from teaselcove import messages, parts
from teaselcove.errors import CodecError
from teaselcove.events import RecordsRead
from teaselcove.fold import State, fold
from teaselcove.ids import Offset, StreamName, Version
from teaselcove.parts import Assembly, Part
from teaselcove.records import STREAM

# Reading from beyond the end tells where a stream ends.
BEYOND_END = Offset(2**62)

# Snapshots are searched from the end of their stream; a search without result
# goes on with a window that is larger by the factor.
WINDOW_RECORDS = 64
WINDOW_FACTOR = 8


class Phase(Enum):
    """What a rebuild is reading.

    LOST means that the log dropped records that no snapshot covers.
    """

    END = 'end'
    SNAPSHOTS = 'snapshots'
    TAIL = 'tail'
    DONE = 'done'
    LOST = 'lost'


class Request(msgspec.Struct, frozen=True):
    """A read that a rebuild asks for."""

    stream: StreamName
    offset: Offset


class Rebuild:
    """One rebuild of a configuration.

    Attributes:
        last: Version at which to stop, or None for the newest.
        phase: What is read next.
        request: The read that is awaited.
        state: The configuration so far, from phase TAIL on.
        loss_reason: Why records are lost, in phase LOST.
        refused: How many snapshots or parts were damaged.
    """

    def __init__(self, last: Version | None = None) -> None:
        self.last = last
        self.phase = Phase.END
        self.request = Request(parts.STREAM, BEYOND_END)
        self.state = State()
        self.loss_reason = ''
        self.refused = 0
        self.window = WINDOW_RECORDS
        self.start = Offset(0)
        self.end = Offset(0)
        self.assembly = Assembly()

    @property
    def is_finished(self) -> bool:
        """Whether nothing more is to be read."""
        return self.phase in {Phase.DONE, Phase.LOST}

    def handle_read(self, read: RecordsRead) -> None:
        """Takes the result of the awaited read; others are ignored."""
        wanted = (self.request.stream, self.request.offset)
        if self.is_finished or wanted != (read.stream, read.requested_offset):
            return
        if self.phase is Phase.END:
            self.end = read.next_offset
            self.open_window(read)
        elif self.phase is Phase.SNAPSHOTS:
            self.take_parts(read)
        else:
            self.take_tail(read)

    def open_window(self, read: RecordsRead) -> None:
        """Starts to read the last records of the snapshot stream."""
        self.start = Offset(max(read.first_offset, self.end - self.window))
        self.assembly = Assembly()
        if self.start >= self.end:
            self.start_tail(State())
            return
        self.phase = Phase.SNAPSHOTS
        self.request = Request(parts.STREAM, self.start)

    def take_parts(self, read: RecordsRead) -> None:
        """Takes records of the snapshot stream."""
        for _, payload in read.records:
            part = decode_part(payload)
            if part is None:
                self.assembly.refused += 1
            else:
                self.assembly.add(part)
        reached = read.records[-1][0] + 1 if read.records else self.end
        if reached < self.end:
            self.request = Request(parts.STREAM, Offset(reached))
            return
        self.choose(read)

    def choose(self, read: RecordsRead) -> None:
        """Goes on with the best snapshot, or searches further back."""
        found = self.assembly.newest_complete(self.last)
        self.refused = self.assembly.refused
        if found is None and self.start > read.first_offset:
            self.window *= WINDOW_FACTOR
            self.open_window(read)
            return
        self.assembly = Assembly()
        self.start_tail(found or State())

    def start_tail(self, state: State) -> None:
        """Starts to read the records after a snapshot."""
        self.state = state
        self.phase = Phase.TAIL
        self.request = Request(STREAM, state.next_offset)
        self.finish_at_version()

    def take_tail(self, read: RecordsRead) -> None:
        """Folds records after the snapshot."""
        if read.first_offset > self.state.next_offset:
            self.phase = Phase.LOST
            self.loss_reason = (
                f'the log keeps records from offset {read.first_offset} on; '
                f'no snapshot covers those from {self.state.next_offset} on'
            )
            return
        for offset, payload in read.records:
            if self.phase is Phase.TAIL:
                fold(self.state, Offset(offset), payload)
                self.finish_at_version()
        if self.state.next_offset >= read.next_offset or not read.records:
            self.phase = Phase.DONE
        self.request = Request(STREAM, self.state.next_offset)

    def finish_at_version(self) -> None:
        """Ends the rebuild at the wanted version."""
        if self.state.version == self.last:
            self.phase = Phase.DONE


def decode_part(payload: bytes) -> Part | None:
    """Returns the part in a record, or None if it is damaged."""
    try:
        decoded: Any = messages.decode(payload)
    except CodecError:
        return None
    return decoded if isinstance(decoded, Part) else None
