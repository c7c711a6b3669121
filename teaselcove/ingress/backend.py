"""Runs attempts at backend servers on kept and new connections."""

import asyncio
import time
from collections import defaultdict

import msgspec

from teaselcove.entities import Server
from teaselcove.events import AttemptResult
from teaselcove.http_connection import (
    ConnectionBrokenError,
    HttpConnection,
    RawAnswer,
    connect,
)
from teaselcove.http_fields import MS_PER_S, CallerRequest
from teaselcove.ids import BackendServerId, OrganisationId
from teaselcove.platform import headers as names

# Between availability zones a connection takes two milliseconds; a lost
# opening packet is sent again after one second, so another server is sooner.
CONNECT_TIMEOUT_S = 0.35
# Kept connections are used up to this share of the idle time that the
# server announced, or up to the default if it did not.
IDLE_SHARE = 0.6
DEFAULT_IDLE_S = 3
# The same for requests that may run once: a connection that breaks just as
# they are written leaves it unknown whether they ran.
ONCE_IDLE_S = 1.5
USER_TIMEOUT_MS = 3000
MISDIRECTED_STATUS = 421
KEEP_ALIVE = 'keep-alive'


class AttemptEnd(msgspec.Struct):
    """How an attempt ended.

    Attributes:
        stale: Whether a kept connection ended without any byte of an
            answer, which says little about the server.
        problem: What went wrong, for the log.
    """

    result: AttemptResult
    answer: RawAnswer | None = None
    elapsed: float = 0
    stale: bool = False
    problem: str = ''

    @property
    def status(self) -> int | None:
        """The status of the answer, or None."""
        return self.answer.status if self.answer else None

    @property
    def health_result(self) -> AttemptResult:
        """The result as far as it says something about the server."""
        return AttemptResult.CANCELLED if self.stale else self.result


class BackendPool:
    """Kept connections to backend servers.

    Attributes:
        opened: Connections opened since the start.
    """

    def __init__(self, local_ip: str, max_answer_bytes: int) -> None:
        self.local_ip = local_ip
        self.max_answer_bytes = max_answer_bytes
        self.idle: defaultdict[BackendServerId, list[HttpConnection]] = (
            defaultdict(list)
        )
        self.opened = 0

    def take(
        self, server: BackendServerId, idempotent: bool
    ) -> HttpConnection | None:
        """Returns the kept connection that was used last, or None."""
        kept = self.idle[server]
        now = time.monotonic()
        while kept:
            connection = kept.pop()
            limit = connection.idle_limit or DEFAULT_IDLE_S
            if not idempotent:
                limit = min(limit, ONCE_IDLE_S)
            if connection.is_usable and now - connection.idle_since < limit:
                return connection
            connection.close()
        return None

    def keep(self, server: BackendServerId, connection: HttpConnection) -> None:
        """Keeps a connection for the next request."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        self.idle[server].append(connection)

    async def open(self, server: Server) -> HttpConnection:
        """Opens a connection.

        Raises:
            OSError: If the server refuses it.
            TimeoutError: If the server does not answer.
        """
        self.opened += 1
        return await connect(
            server.address,
            CONNECT_TIMEOUT_S,
            USER_TIMEOUT_MS,
            self.max_answer_bytes,
            self.local_ip,
        )

    def forget(self, server: BackendServerId) -> None:
        """Closes the kept connections to a server."""
        for connection in self.idle.pop(server, []):
            connection.close()

    def close_idle(self) -> None:
        """Closes connections that are too old to be used again."""
        now = time.monotonic()
        for server in tuple(self.idle):
            kept = self.idle.pop(server)
            fresh = [item for item in kept if is_fresh(item, now)]
            for connection in set(kept).difference(fresh):
                connection.close()
            if fresh:
                self.idle[server] = fresh

    def close(self) -> None:
        """Closes all kept connections."""
        for server in tuple(self.idle):
            self.forget(server)


def is_fresh(connection: HttpConnection, now: float) -> bool:
    """Returns whether a kept connection may be used again."""
    limit = connection.idle_limit or DEFAULT_IDLE_S
    return connection.is_usable and now - connection.idle_since < limit


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A caller's request with what the host adds to it."""

    request: CallerRequest
    attempt_id: str
    organisation: OrganisationId | None
    idempotent: bool


def request_bytes(
    outgoing: OutgoingRequest, server: BackendServerId, time_left: float
) -> bytes:
    """Returns a request as a backend server gets it."""
    request = outgoing.request
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in request.headers)
    left_ms = max(1, int(time_left * MS_PER_S))
    lines.append(f'{names.DEADLINE_MS}: {left_ms}')
    lines.append(f'{names.EXPECTED_SERVER}: {server}')
    if outgoing.organisation is not None:
        lines.append(f'{names.ORGANISATION}: {outgoing.organisation}')
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(f'content-length: {len(request.body)}')
    head = '\r\n'.join([*lines, '', '']).encode('latin-1')
    return head + request.body


def idle_limit(answer: RawAnswer) -> float | None:
    """Returns for how many seconds a connection may be kept, or None."""
    text = answer.header(KEEP_ALIVE)
    for part in (text or '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdigit():
            return int(value) * IDLE_SHARE
    return None


def classify(answer: RawAnswer, attempt_id: str) -> AttemptResult:
    """Returns the result that an answer stands for.

    Only a server's own statement says that a request has not run.
    """
    if answer.status == MISDIRECTED_STATUS:
        return AttemptResult.MISDIRECTED
    if answer.header(names.NOT_EXECUTED) is not None:
        return AttemptResult.SHED
    if attempt_id and answer.header(names.ATTEMPT_ID) is None:
        return AttemptResult.MISMATCHED
    if answer.status < 500 and answer.header(names.SIGNATURE) is None:
        return AttemptResult.MISMATCHED
    return AttemptResult.COMPLETE


async def run_attempt(
    pool: BackendPool,
    server: Server,
    outgoing: OutgoingRequest,
    time_left: float,
) -> AttemptEnd:
    """Sends a request to a server and returns how that ended.

    Args:
        pool: Kept connections.
        server: The server.
        outgoing: The request.
        time_left: Seconds that the caller waits from now on.
    """
    started = time.monotonic()
    connection = pool.take(server.id, outgoing.idempotent)
    if connection is None:
        try:
            connection = await pool.open(server)
        except (OSError, TimeoutError) as error:
            return AttemptEnd(AttemptResult.NOT_SENT, problem=repr(error))
    reused = connection.used > 0
    left = time_left - (time.monotonic() - started)
    payload = request_bytes(outgoing, server.id, left)
    try:
        async with asyncio.timeout(left):
            answer = await connection.exchange(
                payload,
                (names.ATTEMPT_ID, outgoing.attempt_id),
                outgoing.request.method == 'HEAD',
            )
    except TimeoutError:
        connection.close()
        return AttemptEnd(AttemptResult.TIMED_OUT, problem='no answer in time')
    except ConnectionBrokenError as error:
        connection.close()
        stale = reused and not error.answered
        return AttemptEnd(AttemptResult.BROKEN, stale=stale, problem=str(error))
    connection.idle_limit = idle_limit(answer) or connection.idle_limit
    pool.keep(server.id, connection)
    elapsed = time.monotonic() - started
    result = classify(answer, outgoing.attempt_id)
    return AttemptEnd(result, answer, elapsed)
