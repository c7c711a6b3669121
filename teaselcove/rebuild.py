"""Rebuild of a configuration from the newest snapshot and the log's tail.

A rebuild performs no I/O: it returns the next read to perform and is given the
result. Hosts and commands use the same code.
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

# A read beyond the end of a stream returns the offset of its end.
BEYOND_END = Offset(2**62)

# Snapshots are searched for at the end of their stream. If the window holds no
# complete snapshot, the search is repeated with a window larger by the factor.
WINDOW_RECORDS = 64
WINDOW_FACTOR = 8


class Phase(Enum):
    """Phase of a rebuild.

    LOST means that the log dropped records that no snapshot covers.
    """

    END = 'end'
    SNAPSHOTS = 'snapshots'
    TAIL = 'tail'
    DONE = 'done'
    LOST = 'lost'


class ReadRequest(msgspec.Struct, frozen=True):
    """A read that a rebuild needs next."""

    stream: StreamName
    offset: Offset


class Rebuild:
    """One rebuild of a configuration.

    Attributes:
        target_version: Version at which to stop, or None for the newest.
        phase: What the pending read is for.
        request: The pending read.
        state: The configuration so far, from phase TAIL on.
        loss_reason: Why records are lost, in phase LOST.
        damaged_count: Number of damaged parts and snapshots.
    """

    def __init__(self, target_version: Version | None = None) -> None:
        self.target_version = target_version
        self.phase = Phase.END
        self.request = ReadRequest(parts.STREAM, BEYOND_END)
        self.state = State()
        self.loss_reason = ''
        self.damaged_count = 0
        self.window_size = WINDOW_RECORDS
        self.window_start = Offset(0)
        self.stream_end = Offset(0)
        self.assembly = Assembly()

    @property
    def is_finished(self) -> bool:
        """Whether no further reads are needed."""
        return self.phase in {Phase.DONE, Phase.LOST}

    def handle_read(self, read: RecordsRead) -> None:
        """Handles the result of the pending read; others are ignored."""
        wanted = (self.request.stream, self.request.offset)
        if self.is_finished or wanted != (read.stream, read.requested_offset):
            return
        if self.phase is Phase.END:
            self.stream_end = read.next_offset
            self.open_window(read)
        elif self.phase is Phase.SNAPSHOTS:
            self.handle_parts(read)
        else:
            self.handle_tail(read)

    def open_window(self, read: RecordsRead) -> None:
        """Starts reading a window at the end of the snapshot stream."""
        self.window_start = Offset(
            max(read.first_offset, self.stream_end - self.window_size)
        )
        self.assembly = Assembly()
        if self.window_start >= self.stream_end:
            self.start_tail(State())
            return
        self.phase = Phase.SNAPSHOTS
        self.request = ReadRequest(parts.STREAM, self.window_start)

    def handle_parts(self, read: RecordsRead) -> None:
        """Collects parts from records of the snapshot stream."""
        for _, payload in read.records:
            part = decode_part(payload)
            if part is None:
                self.assembly.damaged_count += 1
            else:
                self.assembly.add(part)
        next_offset = (
            read.records[-1][0] + 1 if read.records else self.stream_end
        )
        if next_offset < self.stream_end:
            self.request = ReadRequest(parts.STREAM, Offset(next_offset))
            return
        self.choose_snapshot(read)

    def choose_snapshot(self, read: RecordsRead) -> None:
        """Continues with the newest snapshot, or searches further back."""
        found = self.assembly.newest_complete(self.target_version)
        self.damaged_count = self.assembly.damaged_count
        if found is None and self.window_start > read.first_offset:
            self.window_size *= WINDOW_FACTOR
            self.open_window(read)
            return
        self.assembly = Assembly()
        self.start_tail(found or State())

    def start_tail(self, state: State) -> None:
        """Starts reading the records after a snapshot."""
        self.state = state
        self.phase = Phase.TAIL
        self.request = ReadRequest(STREAM, state.next_offset)
        self.finish_at_target()

    def handle_tail(self, read: RecordsRead) -> None:
        """Folds records after the snapshot."""
        if read.first_offset > self.state.next_offset:
            self.phase = Phase.LOST
            self.loss_reason = (
                f'the log starts at offset {read.first_offset} and no '
                f'snapshot covers the records from {self.state.next_offset} on'
            )
            return
        for offset, payload in read.records:
            if self.phase is Phase.TAIL:
                fold(self.state, Offset(offset), payload)
                self.finish_at_target()
        if self.state.next_offset >= read.next_offset or not read.records:
            self.phase = Phase.DONE
        self.request = ReadRequest(STREAM, self.state.next_offset)

    def finish_at_target(self) -> None:
        """Ends the rebuild if the target version is reached."""
        if self.state.version == self.target_version:
            self.phase = Phase.DONE


def decode_part(payload: bytes) -> Part | None:
    """Decodes the part in a record, or returns None if it is damaged."""
    try:
        decoded: Any = messages.decode(payload)
    except CodecError:
        return None
    return decoded if isinstance(decoded, Part) else None
