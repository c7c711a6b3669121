"""Splits a configuration into parts to store it or to send it to a peer."""

import hashlib
import itertools
from collections import defaultdict
from collections.abc import Iterator
from typing import Any

import msgspec

from teaselcove.fold import SkipCounts, State
from teaselcove.ids import Offset, StreamName, Version
from teaselcove.messages import message
from teaselcove.packing import DIGEST_MASK, decode, encode
from teaselcove.records import KINDS, Winner

STREAM = StreamName('snapshots')
PART_FORMAT = 1
CHECKSUM_BYTES = 16

# Rows per part, which keep a part far below the maximum message size. The row
# of a service grows with its list of backend servers.
ROWS_PER_PART = {
    'organisations': 1024,
    'keys': 1024,
    'services': 32,
    'routes': 512,
}

# Errors raised when decoding rows that were not written by this module.
ROW_ERRORS = (msgspec.MsgspecError, TypeError, ValueError, AttributeError)


class SnapshotId(msgspec.Struct, frozen=True, order=True):
    """Identifies the content of a snapshot; ordered by offset first."""

    next_offset: Offset
    version: Version
    digest: int


@message('snapshot-part')
class Part(msgspec.Struct, frozen=True):
    """A part of the snapshot of a configuration.

    Attributes:
        format: Version of the part format.
        snapshot: The configuration.
        index: Index of the part, from 0.
        last: Whether this is the last part.
        skipped: Numbers of records that did not win.
        winners: The latest winning changes; empty except in the first part.
        payload: Encoded kind and rows of that kind.
        checksum: Hash of the other fields.
    """

    format: int
    snapshot: SnapshotId
    index: int
    last: bool
    skipped: SkipCounts
    winners: tuple[Winner, ...]
    payload: bytes
    checksum: bytes = b''

    def compute_checksum(self) -> bytes:
        """Returns the hash of all fields but the checksum."""
        plain = msgspec.structs.replace(self, checksum=b'')
        hashed = hashlib.blake2b(encode(plain), digest_size=CHECKSUM_BYTES)
        return hashed.digest()

    @property
    def is_valid(self) -> bool:
        """Whether the part is intact and has the current format."""
        is_current_format = self.format == PART_FORMAT
        return is_current_format and self.checksum == self.compute_checksum()


class Section(msgspec.Struct, frozen=True):
    """Range of the rows of a table that one part holds."""

    kind: str
    start: int
    end: int


def snapshot_id(state: State) -> SnapshotId:
    """Returns the id of the snapshot of a configuration."""
    return SnapshotId(state.next_offset, state.version, state.digest)


def list_sections(state: State) -> list[Section]:
    """Returns the section of each part of a configuration."""
    found = []
    for kind in KINDS:
        count = len(state.tables.by_kind[kind])
        step = ROWS_PER_PART[kind]
        for start in range(0, count, step):
            found.append(Section(kind, start, min(start + step, count)))
    return found or [Section(KINDS[0], 0, 0)]


def build_part(state: State, index: int) -> Part | None:
    """Builds a part of a configuration, or None if the index is too high."""
    found = list_sections(state)
    if index >= len(found):
        return None
    section = found[index]
    table = state.tables.by_kind[section.kind]
    offsets = table.by_id.offsets[section.start : section.end]
    rows = [table.row_at(offset) for offset in offsets]
    part = Part(
        PART_FORMAT,
        snapshot_id(state),
        index,
        index == len(found) - 1,
        state.skipped,
        () if index else tuple(state.winners),
        encode((section.kind, rows)),
    )
    return msgspec.structs.replace(part, checksum=part.compute_checksum())


def split_into_parts(state: State) -> list[Part]:
    """Returns all parts of a configuration."""
    parts = (build_part(state, index) for index in itertools.count())
    return list(itertools.takewhile(lambda part: part is not None, parts))


class Assembly:
    """Collects parts and assembles configurations from them.

    Attributes:
        parts: Valid parts by snapshot and index.
        damaged_count: Number of damaged parts and snapshots.
    """

    def __init__(self) -> None:
        self.parts: dict[SnapshotId, dict[int, Part]] = defaultdict(dict)
        self.damaged_count = 0

    def add(self, part: Part) -> None:
        """Adds a part unless it is damaged."""
        if part.is_valid:
            self.parts[part.snapshot][part.index] = part
        else:
            self.damaged_count += 1

    def first_missing(self, snapshot: SnapshotId) -> int | None:
        """Returns the index of the first missing part, or None."""
        found = self.parts[snapshot]
        for index in itertools.count():
            if index not in found:
                return index
            if found[index].last:
                return None
        return None

    def newest_complete(self, last: Version | None = None) -> State | None:
        """Returns the newest complete configuration, or None.

        Args:
            last: The highest acceptable version, or None for any.
        """
        for snapshot in sorted(self.parts, reverse=True):
            if last is not None and snapshot.version > last:
                continue
            if self.first_missing(snapshot) is None:
                state = self.build(snapshot)
                if state is not None:
                    return state
                self.damaged_count += 1
        return None

    def build(self, snapshot: SnapshotId) -> State | None:
        """Builds the configuration of a snapshot, or None if it is damaged."""
        found = self.parts[snapshot]
        first = found[0]
        state = State()
        state.version = snapshot.version
        state.next_offset = snapshot.next_offset
        state.skipped = msgspec.structs.replace(first.skipped)
        state.winners.extend(first.winners)
        rows = defaultdict(list)
        try:
            for index in sorted(found):
                kind, packed = decode(found[index].payload)
                rows[kind].extend(packed)
            state.digest = load_tables(state, rows)
        except ROW_ERRORS:
            return None
        return state if state.digest == snapshot.digest else None


def load_tables(state: State, rows: dict[str, list[bytes]]) -> int:
    """Loads rows into empty tables and returns their digest."""
    digest = 0
    for kind in KINDS:
        table = state.tables.by_kind[kind]
        found = rows.pop(kind, [])
        digest += sum(table.packing.digest(row) for row in found)
        table.load(pop_all(found))
    return digest & DIGEST_MASK


def pop_all(rows: list[Any]) -> Iterator[Any]:
    """Pops and yields items from the end of a list, which frees memory."""
    while rows:
        yield rows.pop()
