"""Commands that validate, plan and apply the configuration in a directory."""

import asyncio
import getpass
import uuid
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
import msgspec

from teaselcove import documents
from teaselcove.commands import history
from teaselcove.commands.output import ExitCode, exit_with_error
from teaselcove.commands.submission import Submission, Verdict, submit
from teaselcove.entities import Entities
from teaselcove.errors import StoreUnavailableError
from teaselcove.fold import State, entities_digest
from teaselcove.ids import ApplyId, Version
from teaselcove.plan import Difference, difference
from teaselcove.store import LogClient

ResultT = TypeVar('ResultT')


def read_directory(directory: str) -> Entities:
    """Reads a directory, or ends the command with the errors found."""
    try:
        return documents.read(Path(str(directory)))
    except documents.DocumentsError as error:
        count = len(error.errors)
        exit_with_error(
            ExitCode.INVALID, f'{error}\n{count} errors; nothing was applied'
        )


def run_or_exit(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Runs a coroutine, or ends the command if the log is unavailable."""
    try:
        return asyncio.run(work)
    except StoreUnavailableError as error:
        exit_with_error(
            ExitCode.UNAVAILABLE,
            f'the log does not answer ({error}); nothing was applied',
        )
    except history.HistoryLostError as error:
        exit_with_error(ExitCode.UNAVAILABLE, f'{error}; nothing was applied')


def validate(directory: str) -> None:
    """Checks the files of a directory.

    Args:
        directory: Directory with *.jsonc files.
    """
    entities = read_directory(directory)
    print(
        f'valid: {len(entities.organisations)} organisations, '
        f'{len(entities.keys)} keys, {len(entities.services)} services, '
        f'{len(entities.routes)} routes, '
        f'digest {entities_digest(entities):016x}'
    )


def plan(directory: str, log_url: str) -> None:
    """Shows what `apply` would change.

    Args:
        directory: Directory with *.jsonc files.
        log_url: Base URL of the log service.
    """
    entities = read_directory(directory)
    state = run_or_exit(load(log_url))
    print_difference(state, difference(state.tables.entities(), entities))


def apply(directory: str, log_url: str, operator: str = '') -> None:
    """Applies the configuration of a directory as one change.

    Args:
        directory: Directory with *.jsonc files.
        log_url: Base URL of the log service.
        operator: Name shown to other operators; the login name by default.
    """
    run_or_exit(apply_entities(read_directory(directory), log_url, operator))


def rollback(
    version: int,
    log_url: str,
    operator: str = '',
    restore_keys: bool = False,
) -> None:
    """Applies the configuration of an earlier version again.

    The current keys are kept by default: an unrelated rollback must not make
    a key valid again that was withdrawn after that version.

    Args:
        version: The earlier version.
        log_url: Base URL of the log service.
        operator: Name shown to other operators; the login name by default.
        restore_keys: Whether to restore the keys of that version as well.
    """
    wanted = run_or_exit(load_version(log_url, Version(version)))
    if wanted is None:
        exit_with_error(
            ExitCode.INVALID,
            f'no version {version} can be read from the log; nothing was '
            'applied',
        )
    run_or_exit(apply_entities(wanted, log_url, operator, not restore_keys))


async def load_version(log_url: str, version: Version) -> Entities | None:
    """Returns the entities of a version, or None if it cannot be read."""
    async with aiohttp.ClientSession() as session:
        client = LogClient(log_url, session)
        state = await history.load_version(client, version)
    return None if state is None else state.tables.entities()


async def load(log_url: str) -> State:
    """Returns the current configuration from the log."""
    async with aiohttp.ClientSession() as session:
        return await history.load(LogClient(log_url, session))


def with_current_keys(wanted: Entities, present: Entities) -> Entities:
    """Returns a configuration with the keys that are currently valid.

    Keys of organisations that it does not contain are left out.
    """
    known = {organisation.id for organisation in wanted.organisations}
    keys = tuple(key for key in present.keys if key.organisation in known)
    return msgspec.structs.replace(wanted, keys=keys)


async def apply_entities(
    wanted: Entities, log_url: str, operator: str, keep_keys: bool = False
) -> None:
    """Submits a configuration as the current one and prints the result.

    Args:
        wanted: The new configuration.
        log_url: Base URL of the log service.
        operator: Name shown to other operators; the login name if empty.
        keep_keys: Whether the current keys replace those of `wanted`.
    """
    async with aiohttp.ClientSession() as session:
        client = LogClient(log_url, session)
        state = await history.load(client)
        if keep_keys:
            wanted = with_current_keys(wanted, state.tables.entities())
        change = difference(state.tables.entities(), wanted)
        print_difference(state, change)
        if change.is_empty:
            return
        apply_id = ApplyId(uuid.uuid4().hex)
        name = str(operator) or getpass.getuser()
        submission = await submit(client, state, change, apply_id, name)
    report(submission, apply_id)


def print_difference(state: State, change: Difference) -> None:
    """Prints the changes to the current configuration."""
    for line in change.lines:
        print(line)
    if not change.is_empty:
        print(f'{len(change.lines)} changes to version {state.version}')
        return
    latest = state.winner_at(state.version)
    origin = f', apply {latest.apply_id} by {latest.operator}' if latest else ''
    print(f'nothing to change: version {state.version} is in force{origin}')


def report(submission: Submission, apply_id: ApplyId) -> None:
    """Prints the result of a change; ends the command if it failed."""
    winner = submission.winner
    origin = ''
    if winner is not None:
        origin = f'apply {winner.apply_id} by {winner.operator or "unknown"}'
    match submission.verdict:
        case Verdict.ACCEPTED:
            print(f'accepted: version {winner.version}, {origin}')
        case Verdict.ALREADY:
            print(f'already in force: {origin} made the same change')
        case Verdict.LOST:
            exit_with_error(
                ExitCode.LOST,
                f'lost: {origin} changed the same base first; nothing was '
                'applied, run plan to see the difference',
            )
        case Verdict.REJECTED:
            exit_with_error(
                ExitCode.INVALID,
                f'rejected: hosts skip the record of apply {apply_id}; '
                'nothing was applied',
            )
        case Verdict.UNAVAILABLE:
            exit_with_error(
                ExitCode.UNAVAILABLE,
                f'the log does not answer ({submission.problem}); nothing '
                'was applied',
            )
        case Verdict.UNKNOWN:
            exit_with_error(
                ExitCode.UNKNOWN,
                f'unknown: apply {apply_id} may or may not take effect '
                f'({submission.problem}); run apply again to find out',
            )
