"""Parts in which a whole configuration is stored or sent to a peer."""

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

# Rows in one part, so that a part stays far below the largest message: a row
# of a service is as long as its list of backend servers.
ROWS_BY_KIND = {
    'organisations': 1024,
    'keys': 1024,
    'services': 32,
    'routes': 512,
}

# Errors of reading rows that were not written by this module.
ROW_ERRORS = (msgspec.MsgspecError, TypeError, ValueError, AttributeError)


class SnapshotId(msgspec.Struct, frozen=True, order=True):
    """Which configuration a snapshot holds; later offsets are better."""

    next_offset: Offset
    version: Version
    digest: int


@message('snapshot-part')
class Part(msgspec.Struct, frozen=True):
    """A part of the snapshot of a configuration.

    Attributes:
        format: Version of the form of parts.
        snapshot: The configuration.
        index: Number of the part, from 0.
        last: Whether no part follows.
        skipped: Counts of the records that did not win.
        winners: The latest changes, in the first part.
        payload: Rows of one kind.
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
        """Whether the part is whole and of the present format."""
        known = self.format == PART_FORMAT
        return known and self.checksum == self.compute_checksum()


class Section(msgspec.Struct, frozen=True):
    """Positions of the rows of one part in a table."""

    kind: str
    start: int
    end: int


def identify(state: State) -> SnapshotId:
    """Returns the id of the snapshot of a configuration."""
    return SnapshotId(state.next_offset, state.version, state.digest)


def sections(state: State) -> list[Section]:
    """Returns which rows each part of a configuration holds."""
    found = []
    for kind in KINDS:
        count = len(state.tables.by_kind[kind])
        step = ROWS_BY_KIND[kind]
        for start in range(0, count, step):
            found.append(Section(kind, start, min(start + step, count)))
    return found or [Section(KINDS[0], 0, 0)]


def part_of(state: State, index: int) -> Part | None:
    """Returns a part of a configuration, or None if there are fewer."""
    found = sections(state)
    if index >= len(found):
        return None
    section = found[index]
    table = state.tables.by_kind[section.kind]
    places = table.by_id.places[section.start : section.end]
    rows = [table.row_at(place) for place in places]
    part = Part(
        PART_FORMAT,
        identify(state),
        index,
        index == len(found) - 1,
        state.skipped,
        () if index else tuple(state.winners),
        encode((section.kind, rows)),
    )
    return msgspec.structs.replace(part, checksum=part.compute_checksum())


def split_into_parts(state: State) -> list[Part]:
    """Returns all parts of a configuration."""
    parts = (part_of(state, index) for index in itertools.count())
    return list(itertools.takewhile(lambda part: part is not None, parts))


class Assembly:
    """Parts that were read, and the configurations that they give.

    Attributes:
        parts: Valid parts by snapshot and index.
        refused: How many parts or snapshots were damaged.
    """

    def __init__(self) -> None:
        self.parts: dict[SnapshotId, dict[int, Part]] = defaultdict(dict)
        self.refused = 0

    def add(self, part: Part) -> None:
        """Takes a part, unless it is damaged."""
        if part.is_valid:
            self.parts[part.snapshot][part.index] = part
        else:
            self.refused += 1

    def missing(self, snapshot: SnapshotId) -> int | None:
        """Returns the first part that is missing, or None."""
        found = self.parts[snapshot]
        for index in itertools.count():
            if index not in found:
                return index
            if found[index].last:
                return None
        return None

    def newest_complete(self, last: Version | None = None) -> State | None:
        """Returns the newest configuration that is whole, or None.

        Args:
            last: The highest version that is wanted, or None for any.
        """
        for snapshot in sorted(self.parts, reverse=True):
            if last is not None and snapshot.version > last:
                continue
            if self.missing(snapshot) is None:
                state = self.build(snapshot)
                if state is not None:
                    return state
                self.refused += 1
        return None

    def build(self, snapshot: SnapshotId) -> State | None:
        """Returns the configuration of a snapshot, None if it is damaged."""
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
            state.digest = fill(state, rows)
        except ROW_ERRORS:
            return None
        return state if state.digest == snapshot.digest else None


def fill(state: State, rows: dict[str, list[bytes]]) -> int:
    """Loads rows into empty tables; returns their digest."""
    digest = 0
    for kind in KINDS:
        table = state.tables.by_kind[kind]
        found = rows.pop(kind, [])
        digest += sum(table.packing.digest(row) for row in found)
        table.load(iter_release(found))
    return digest & DIGEST_MASK


def iter_release(rows: list[Any]) -> Iterator[Any]:
    """Yields items from the end and drops each from the list."""
    while rows:
        yield rows.pop()
