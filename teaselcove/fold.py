"""Fold of the configuration stream into a version and its entities.

Hosts and commands call the same function. Its result depends on the records
only, so all of them agree on which change won.
"""

from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgspec

from teaselcove.entities import Entities
from teaselcove.ids import ApplyId, Offset, Version
from teaselcove.packing import DIGEST_MASK, PACKINGS, Packing
from teaselcove.records import (
    KINDS,
    RECORD_FORMAT,
    ApplyRecord,
    Winner,
    decode_format,
    decode_record,
)
from teaselcove.tables import Tables

# Winning changes that are remembered to look them up and to detect repeated
# ids. A repeat of an older change has an outdated base, so it loses anyway.
MAX_REMEMBERED_WINNERS = 256


class RecordResult(Enum):
    """Result of folding a record of the log.

    DAMAGED means that the record cannot be decoded, contradicts itself or
    does not lead to its stated digest. UNKNOWN means an unsupported format.
    """

    WON = 'won'
    LOST = 'lost'
    REPEATED = 'repeated'
    DAMAGED = 'damaged'
    UNKNOWN = 'unknown'


class SkipCounts(msgspec.Struct, array_like=True):
    """Numbers of records that did not win, by reason."""

    lost: int = 0
    repeated: int = 0
    damaged: int = 0
    unknown: int = 0

    def count(self, fate: RecordResult) -> None:
        """Counts a record that did not win."""
        setattr(self, fate.value, getattr(self, fate.value) + 1)


class Change(msgspec.Struct, frozen=True):
    """The rows of one table that a record changes."""

    kind: str
    put: list[bytes]
    removed: list[str]


class State:
    """The configuration after all records below an offset.

    Attributes:
        version: Number of winning changes.
        digest: Sum of the digests of all entities.
        next_offset: Offset of the next record to fold.
        skipped: Counts of the records that did not win.
        winners: The latest winning changes, oldest first.
        tables: The entities.
    """

    def __init__(self) -> None:
        self.version = Version(0)
        self.digest = 0
        self.next_offset = Offset(0)
        self.skipped = SkipCounts()
        self.winners: deque[Winner] = deque(maxlen=MAX_REMEMBERED_WINNERS)
        self.tables = Tables()

    def winner_at(self, version: Version) -> Winner | None:
        """Returns the change that created a version, if remembered."""
        for winner in reversed(self.winners):
            if winner.version == version:
                return winner
        return None

    def winner_by_id(self, apply_id: ApplyId) -> Winner | None:
        """Returns the winning change with an id, if remembered."""
        for winner in reversed(self.winners):
            if winner.apply_id == apply_id:
                return winner
        return None


def fold(state: State, offset: Offset, payload: bytes) -> RecordResult:
    """Folds the record at an offset into a state.

    Args:
        state: The configuration before the record. The whole change is
            applied if the record wins; otherwise only `skipped` and
            `next_offset` are updated.
        offset: The record's offset, not below `state.next_offset`.
        payload: The record as read from the log.

    Returns:
        Whether the record won, or why not.
    """
    state.next_offset = Offset(offset + 1)
    fate = evaluate(state, offset, payload)
    if fate is not RecordResult.WON:
        state.skipped.count(fate)
    return fate


def evaluate(state: State, offset: Offset, payload: bytes) -> RecordResult:
    """Evaluates a record and applies it if it wins."""
    try:
        if decode_format(payload) != RECORD_FORMAT:
            return RecordResult.UNKNOWN
        record = decode_record(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return RecordResult.DAMAGED
    if state.winner_by_id(record.apply_id) is not None:
        return RecordResult.REPEATED
    if record.base != state.version:
        return RecordResult.LOST
    return apply_record(state, offset, record)


def apply_record(
    state: State, offset: Offset, record: ApplyRecord
) -> RecordResult:
    """Applies a record with a matching base, unless it is inconsistent."""
    if not is_consistent(record):
        return RecordResult.DAMAGED
    try:
        changes = list(table_changes(record))
    except (OverflowError, ValueError):
        return RecordResult.DAMAGED
    digest = digest_after(state, changes)
    if record.digest is not None and record.digest != digest:
        return RecordResult.DAMAGED
    for change in changes:
        table = state.tables.by_kind[change.kind]
        for name in change.removed:
            table.remove(name)
        table.update(change.put)
    state.digest = digest
    state.version = Version(state.version + 1)
    state.winners.append(
        Winner(state.version, record.apply_id, record.operator, offset)
    )
    return RecordResult.WON


def is_consistent(record: ApplyRecord) -> bool:
    """Returns whether a record contains each entity at most once."""
    for kind in KINDS:
        names = [entity.id for entity in getattr(record.put, kind)]
        names.extend(getattr(record.removed, kind))
        if len(set(names)) < len(names):
            return False
    return True


def table_changes(record: ApplyRecord) -> Iterator[Change]:
    """Yields the changed rows of each kind."""
    for packing in PACKINGS:
        put = getattr(record.put, packing.kind)
        rows = [packing.pack(entity) for entity in put]
        removed = list(getattr(record.removed, packing.kind))
        yield Change(packing.kind, rows, removed)


def digest_after(state: State, changes: list[Change]) -> int:
    """Returns the digest after a change, in time linear in the change."""
    digest = state.digest
    for change in changes:
        table = state.tables.by_kind[change.kind]
        packing = table.packing
        names = list(change.removed)
        for row in change.put:
            digest += packing.digest(row)
            names.append(packing.unpack(row).id)
        for name in names:
            digest -= row_digest(packing, table.row(name))
    return digest & DIGEST_MASK


def row_digest(packing: Packing, row: bytes | None) -> int:
    """Returns the digest of a row, or 0 if there is none."""
    return 0 if row is None else packing.digest(row)


def entities_digest(entities: Entities) -> int:
    """Returns the digest of a whole configuration."""
    total = 0
    for packing in PACKINGS:
        found: tuple[Any, ...] = getattr(entities, packing.kind)
        total += sum(packing.digest(packing.pack(entity)) for entity in found)
    return total & DIGEST_MASK
