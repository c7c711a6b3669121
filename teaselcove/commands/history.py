"""The configuration in force and earlier versions, folded from the log."""

from teaselcove.errors import TeaselcoveError
from teaselcove.fold import State, fold
from teaselcove.ids import Offset, Version
from teaselcove.records import STREAM
from teaselcove.store import LogClient


class HistoryLostError(TeaselcoveError):
    """The log no longer holds what is needed to know a version."""


async def load(client: LogClient) -> State:
    """Returns the configuration that the log holds.

    Raises:
        StoreUnavailableError: If the log does not answer.
        HistoryLostError: If records are gone that no snapshot covers.
    """
    state = State()
    await catch_up(client, state)
    return state


async def load_version(client: LogClient, version: Version) -> State | None:
    """Returns the configuration of a version, or None if it is not known.

    Raises:
        StoreUnavailableError: If the log does not answer.
    """
    if version < 1:
        return None
    state = State()
    try:
        await catch_up(client, state, version)
    except HistoryLostError:
        return None
    return state if state.version == version else None


async def catch_up(
    client: LogClient, state: State, last: Version | None = None
) -> None:
    """Folds the records that a state does not have yet.

    Args:
        client: The log.
        state: The state, which is changed.
        last: Version at which to stop, or None to read to the end.

    Raises:
        StoreUnavailableError: If the log does not answer.
        HistoryLostError: If the log dropped records that are not folded.
    """
    more = True
    while more:
        read = await client.read(STREAM, state.next_offset)
        if read.first_offset > state.next_offset:
            raise HistoryLostError(
                f'the log keeps records from offset {read.first_offset} on, '
                f'but those from {state.next_offset} on are needed and no '
                'snapshot covers them'
            )
        for offset, payload in read.records:
            if state.version == last:
                return
            fold(state, Offset(offset), payload)
        more = bool(read.records) and state.next_offset < read.next_offset
