"""Submission of a change to the log, with verification of its result."""

import asyncio
from enum import Enum

import msgspec

from teaselcove.commands.history import HistoryLostError, catch_up
from teaselcove.errors import AppendUnknownError, StoreUnavailableError
from teaselcove.fold import State
from teaselcove.ids import ApplyId
from teaselcove.plan import Difference
from teaselcove.records import STREAM, ApplyRecord, Winner, encode_record
from teaselcove.store import LogClient

# An append whose reply was lost may still take effect afterwards. Reading back
# takes at least as long as the log client waits for a reply.
READ_BACK_TRIES = 6
READ_BACK_INTERVAL_S = 0.5


class Verdict(Enum):
    """Result of a submitted change.

    ALREADY means that another change led to the same configuration. LOST means
    that another change with a different result won. REJECTED means that hosts
    skip the record. UNKNOWN means that the change may still take effect.
    UNAVAILABLE means that nothing was appended.
    """

    ACCEPTED = 'accepted'
    ALREADY = 'already'
    LOST = 'lost'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'
    UNAVAILABLE = 'unavailable'


class Submission(msgspec.Struct, frozen=True):
    """A verdict on a change, with the change that won.

    Attributes:
        winner: The submitted change, or the one that won instead of it.
        problem: Why the log could not be read or written, or empty.
    """

    verdict: Verdict
    winner: Winner | None = None
    problem: str = ''


async def submit(
    client: LogClient,
    state: State,
    difference: Difference,
    apply_id: ApplyId,
    operator: str,
) -> Submission:
    """Appends a change to the log and reads back whether it won.

    Args:
        client: Client of the log.
        state: Configuration that the difference was computed against. The
            records read back are folded into it.
        difference: The change.
        apply_id: New unique id of the change.
        operator: Name of the operator who applies it.
    """
    record = difference.record(apply_id, state.version, operator)
    problem = ''
    written = True
    try:
        await client.append(STREAM, encode_record(record))
    except StoreUnavailableError as error:
        return Submission(Verdict.UNAVAILABLE, problem=str(error))
    except AppendUnknownError as error:
        written = False
        problem = str(error)
    for attempt in range(READ_BACK_TRIES):
        if attempt:
            await asyncio.sleep(READ_BACK_INTERVAL_S)
        try:
            await catch_up(client, state)
        except (StoreUnavailableError, HistoryLostError) as error:
            problem = str(error)
            continue
        submission = resolve_submission(state, record, written)
        if submission is not None:
            return submission
    return Submission(Verdict.UNKNOWN, problem=problem)


def resolve_submission(
    state: State, record: ApplyRecord, written: bool
) -> Submission | None:
    """Returns the result of a submitted record, or None if it is undecided.

    Args:
        state: The configuration after the records read so far.
        record: The submitted record.
        written: Whether the log confirmed the append, so that the records
            read so far include it.
    """
    winner = state.winner_by_id(record.apply_id)
    if winner is not None:
        return Submission(Verdict.ACCEPTED, winner)
    if state.version > record.base:
        first = state.winner_at(type(record.base)(record.base + 1))
        same = state.digest == record.digest
        return Submission(Verdict.ALREADY if same else Verdict.LOST, first)
    return Submission(Verdict.REJECTED) if written else None
