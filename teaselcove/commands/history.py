"""The current configuration and earlier versions, read from the log."""

from teaselcove.errors import TeaselcoveError
from teaselcove.fold import State, fold
from teaselcove.ids import Offset, Version
from teaselcove.rebuild import Phase, Rebuild
from teaselcove.records import STREAM
from teaselcove.store import LogClient


class HistoryLostError(TeaselcoveError):
    """The log no longer holds the records needed to rebuild a version."""


async def load(client: LogClient, last: Version | None = None) -> State:
    """Returns a version of the configuration, rebuilt from the log.

    Args:
        client: The log.
        last: Version at which to stop, or None for the newest.

    Raises:
        StoreUnavailableError: If the log does not answer.
        HistoryLostError: If the log dropped records that no snapshot covers.
    """
    rebuild = Rebuild(last)
    while not rebuild.is_finished:
        request = rebuild.request
        rebuild.handle_read(await client.read(request.stream, request.offset))
    if rebuild.phase is Phase.LOST:
        raise HistoryLostError(rebuild.loss_reason)
    return rebuild.state


async def load_version(client: LogClient, version: Version) -> State | None:
    """Returns the configuration of a version, or None if it is unavailable.

    Raises:
        StoreUnavailableError: If the log does not answer.
    """
    if version < 1:
        return None
    try:
        state = await load(client, version)
    except HistoryLostError:
        return None
    return state if state.version == version else None


async def catch_up(client: LogClient, state: State) -> None:
    """Folds the records that a state lacks into it.

    Raises:
        StoreUnavailableError: If the log does not answer.
        HistoryLostError: If the log dropped records that are not folded.
    """
    has_more = True
    while has_more:
        read = await client.read(STREAM, state.next_offset)
        if read.first_offset > state.next_offset:
            raise HistoryLostError(
                f'the log dropped the records from {state.next_offset} to '
                f'{read.first_offset} before they were read'
            )
        for offset, payload in read.records:
            fold(state, Offset(offset), payload)
        has_more = bool(read.records) and state.next_offset < read.next_offset
