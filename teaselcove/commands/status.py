"""Command that shows which version of the configuration each host has."""

import asyncio
from typing import Any

import aiohttp
import msgspec

from teaselcove.commands.changes import load, run_or_exit
from teaselcove.commands.output import ExitCode, exit_with_error
from teaselcove.fold import State
from teaselcove.store import ListClient

HOST_TIMEOUT_S = 2
REPORT_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    msgspec.MsgspecError,
    OSError,
)

NO_ANSWER_HINT = (
    'A host that does not answer may be down, unreachable or overloaded. It '
    'may still serve callers with its version, until it has had contact with '
    'neither the log nor a majority of the hosts for 5 s.'
)


class HostReport(msgspec.Struct, frozen=True):
    """The part of a host's status that the command shows.

    Attributes:
        digest: Hexadecimal digest of the configuration.
        log_read_age: Seconds since the host last read the log, or None if it
            never did.
    """

    host: str
    version: int
    digest: str
    may_serve: bool
    log_read_age: float | None = None


def status(*addresses: str, log_url: str, list_url: str = '') -> None:
    """Shows the version of each host compared with that of the log.

    Args:
        addresses: Addresses of hosts, as IP address and port.
        log_url: Base URL of the log service.
        list_url: Base URL of the list service, which supplies the addresses if
            none are given.
    """
    if not addresses and not list_url:
        exit_with_error(
            ExitCode.INVALID, 'give addresses of hosts or --list-url'
        )
    state = run_or_exit(load(log_url))
    print(f'log: version {state.version}, digest {state.digest:x}')
    for reason in state.skipped.__struct_fields__:
        count = getattr(state.skipped, reason)
        if count:
            print(f'log: {count} {reason} records')
    reports = run_or_exit(fetch_reports(addresses, list_url))
    for address, report in reports.items():
        print(f'{address}: {describe(report, state)}')
    if None in reports.values():
        print(NO_ANSWER_HINT)
    print(summary(list(reports.values()), state))


async def fetch_reports(
    addresses: tuple[str, ...], list_url: str
) -> dict[str, HostReport | None]:
    """Returns the report of each host by address, None without an answer.

    Raises:
        StoreUnavailableError: If the list of hosts does not answer.
    """
    async with aiohttp.ClientSession() as session:
        if not addresses:
            listed = await ListClient(list_url, session).hosts()
            addresses = tuple(entry.address for entry in listed.hosts)
        reports = await asyncio.gather(
            *(fetch_report(session, address) for address in addresses)
        )
    return dict(zip(addresses, reports, strict=True))


async def fetch_report(
    session: aiohttp.ClientSession, address: str
) -> HostReport | None:
    """Returns the report of a host, or None if it does not answer."""
    timeout = aiohttp.ClientTimeout(total=HOST_TIMEOUT_S)
    url = f'http://{address}/teaselcove/status'
    try:
        async with session.get(url, timeout=timeout) as response:
            response.raise_for_status()
            body = await response.read()
            return msgspec.json.decode(body, type=HostReport)
    except REPORT_ERRORS:
        return None


def describe(report: HostReport | None, state: State) -> str:
    """Returns a line about a host, compared with the log."""
    if report is None:
        return 'no answer'
    age: Any = 'never'
    if report.log_read_age is not None:
        age = f'{report.log_read_age:.1f} s ago'
    serves = 'serves' if report.may_serve else 'refuses requests with a key'
    return (
        f'{report.host} has version {report.version}, '
        f'{compare(report, state)}, log read {age}, {serves}'
    )


def compare(report: HostReport, state: State) -> str:
    """Returns how the configuration of a host differs from that of the log."""
    if report.version < state.version:
        return f'{state.version - report.version} versions behind'
    if report.version > state.version:
        return 'newer than the log was when it was read'
    if report.digest == f'{state.digest:x}':
        return 'up to date'
    return f'DIFFERENT CONTENT with digest {report.digest}'


def summary(reports: list[HostReport | None], state: State) -> str:
    """Returns how many hosts have the version of the log."""
    current = sum(
        report is not None and compare(report, state) == 'up to date'
        for report in reports
    )
    return f'{current} of {len(reports)} hosts are up to date'
