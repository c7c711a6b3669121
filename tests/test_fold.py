"""Tests of the fold of the configuration stream."""

import msgspec
import pytest

from teaselcove.entities import Entities, Organisation
from teaselcove.fold import RecordResult, State, entities_digest, fold
from teaselcove.plan import difference
from teaselcove.records import ApplyRecord, Removed, encode_record
from tests.support import ENTITIES

OTHER = Entities(organisations=(Organisation('other', rate=1.5, burst=1),))
TWICE = Entities(organisations=OTHER.organisations * 2)


def folded(*records: ApplyRecord | bytes) -> tuple[State, list[RecordResult]]:
    """Folds records; returns the state and the result of each record."""
    state = State()
    fates = []
    for offset, record in enumerate(records):
        payload = record
        if isinstance(record, ApplyRecord):
            payload = encode_record(record)
        fates.append(fold(state, offset, payload))
    return state, fates


FIRST = ApplyRecord('first', 0, ENTITIES, digest=entities_digest(ENTITIES))


class TestFold:
    """The first record with a matching base wins and is applied whole."""

    def test_content(self) -> None:
        """Guards against entities that change when packed and unpacked."""
        state, fates = folded(FIRST)
        assert fates == [RecordResult.WON]
        assert state.tables.entities() == ENTITIES
        assert state.digest == entities_digest(ENTITIES)

    @pytest.mark.parametrize(
        ('record', 'fate'),
        [
            (ApplyRecord('late', 0, OTHER), RecordResult.LOST),
            (ApplyRecord('early', 2, OTHER), RecordResult.LOST),
            (ApplyRecord('first', 1, OTHER), RecordResult.REPEATED),
            (ApplyRecord('wrong', 1, OTHER, digest=1), RecordResult.DAMAGED),
            (ApplyRecord('twice', 1, TWICE), RecordResult.DAMAGED),
            (
                ApplyRecord('both', 1, OTHER, Removed(('other',))),
                RecordResult.DAMAGED,
            ),
            (
                msgspec.structs.replace(
                    ApplyRecord('later', 1, OTHER), format=2
                ),
                RecordResult.UNKNOWN,
            ),
            (b'{"apply_id": "cut", "base": 1, "pu', RecordResult.DAMAGED),
            (b'\xff\x00', RecordResult.DAMAGED),
            (b'[]', RecordResult.DAMAGED),
            (
                encode_record(ApplyRecord('big', 1, OTHER)).replace(
                    b'"burst":1', b'"burst":99999999999999999999999'
                ),
                RecordResult.DAMAGED,
            ),
        ],
    )
    def test_skipped(
        self, record: ApplyRecord | bytes, fate: RecordResult
    ) -> None:
        """Guards against a skipped record that changes the configuration."""
        before, _ = folded(FIRST)
        state, fates = folded(FIRST, record)
        assert fates[1] is fate
        assert state.tables.entities() == ENTITIES
        assert (state.version, state.digest) == (1, before.digest)
        assert state.next_offset == 2
        assert getattr(state.skipped, fate.value) == 1

    def test_difference(self) -> None:
        """Guards against a planned digest that differs from the content."""
        change = difference(ENTITIES, OTHER)
        state, fates = folded(FIRST, change.record('second', 1, 'me'))
        assert fates == [RecordResult.WON, RecordResult.WON]
        assert state.tables.entities() == OTHER
        assert state.winner_at(2).operator == 'me'


class TestDifference:
    """A plan lists each change."""

    def test_lines(self) -> None:
        """Guards against a change that the plan does not list."""
        job = ENTITIES.services[0]
        moved = msgspec.structs.replace(job.servers[0], address='127.0.0.9:80')
        service = msgspec.structs.replace(
            job, floor=1, servers=(moved, *job.servers[1:3])
        )
        faster = msgspec.structs.replace(ENTITIES.organisations[0], rate=20)
        new = msgspec.structs.replace(
            ENTITIES, organisations=(faster,), services=(service,), keys=()
        )
        lines = '\n'.join(difference(ENTITIES, new).lines)
        assert '~ organisation village: rate 10 -> 20' in lines
        assert 'village: withdrawn' in lines
        assert '~ service job: floor 2 -> 1' in lines
        assert '- server job-4' in lines
        assert 'server job-1 at 127.0.0.1:80' in lines
        assert difference(new, new).is_empty

    def test_order_of_servers(self) -> None:
        """Guards against a changed order that no line shows."""
        job = ENTITIES.services[0]
        reversed_job = msgspec.structs.replace(
            job, servers=tuple(reversed(job.servers))
        )
        new = msgspec.structs.replace(ENTITIES, services=(reversed_job,))
        assert not difference(ENTITIES, new).is_empty
