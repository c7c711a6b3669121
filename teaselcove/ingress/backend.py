"""Runs attempts at backend servers on kept and new connections."""

import asyncio
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
from teaselcove.ids import BackendServerId, Instant, OrganisationId
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.idle_limits import IdleLimits
from teaselcove.platform import headers as names

# Between availability zones a connection takes two milliseconds; a lost
# opening packet is sent again after one second, so another server is sooner.
CONNECT_TIMEOUT_S = 0.35
USER_TIMEOUT_MS = 3000
# A connection that a server has forgotten is reset within a round trip, here
# with a wide margin, and has been idle for a while.
STALE_WITHIN_S = 0.03
STALE_IDLE_S = 0.1
# A server that does it again within this time is failing.
STALE_APART_S = 2
MISDIRECTED_STATUS = 421
KEEP_ALIVE = 'keep-alive'


class AttemptEnd(msgspec.Struct):
    """How an attempt ended.

    Attributes:
        stale: Whether a kept connection ended without any byte of an
            answer, which says little about the server.
        answer_started: Whether any byte of an answer came.
        problem: What went wrong, for the log.
    """

    result: AttemptResult
    answer: RawAnswer | None = None
    elapsed: float = 0
    stale: bool = False
    answer_started: bool = False
    problem: str = ''

    @property
    def status(self) -> int | None:
        """The status of the answer, or None."""
        return self.answer.status if self.answer else None

    @property
    def result_for_health(self) -> AttemptResult:
        """The result as far as it says something about the server."""
        return AttemptResult.CANCELLED if self.stale else self.result


class BackendPool:
    """Kept connections to backend servers.

    Attributes:
        limits: For how long they may be idle.
        stale_at: When a server was last found to have forgotten one.
        opened: Connections opened since the start.
    """

    def __init__(self, local_ip: str, max_answer_bytes: int) -> None:
        self.local_ip = local_ip
        self.max_answer_bytes = max_answer_bytes
        self.idle: defaultdict[BackendServerId, list[HttpConnection]] = (
            defaultdict(list)
        )
        self.limits = IdleLimits()
        self.stale_at: dict[BackendServerId, Instant] = {}
        self.opened = 0

    def take(
        self, server: BackendServerId, idempotent: bool
    ) -> HttpConnection | None:
        """Returns the kept connection that was used last, or None."""
        kept = self.idle[server]
        now = boot_time()
        while kept:
            connection = kept.pop()
            if self.is_fresh(connection, idempotent, now):
                return connection
            connection.close()
        return None

    def is_fresh(
        self, connection: HttpConnection, idempotent: bool, now: Instant
    ) -> bool:
        """Returns whether a kept connection may be used."""
        announced = connection.idle_limit
        limit = self.limits.limit(announced, idempotent, now)
        return connection.is_usable and now - connection.idle_since < limit

    def keep(self, server: BackendServerId, connection: HttpConnection) -> None:
        """Keeps a connection for the next request."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since = boot_time()
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

    def was_stale(
        self, server: BackendServerId, connection: HttpConnection, sent: Instant
    ) -> bool:
        """Returns whether the server had forgotten an idle connection.

        A server that resets requests looks alike, but does so again soon.

        Args:
            server: The server.
            connection: The connection, which ended without any byte.
            sent: When the request was sent.
        """
        now = boot_time()
        idle = sent - connection.idle_since
        lately = self.stale_at.get(server, Instant(float('-inf')))
        if now - sent > STALE_WITHIN_S or idle < STALE_IDLE_S:
            return False
        self.limits.record_loss(idle, now)
        self.stale_at[server] = now
        return now - lately > STALE_APART_S

    def forget(self, server: BackendServerId) -> None:
        """Closes the kept connections to a server."""
        for connection in self.idle.pop(server, []):
            connection.close()

    def close_idle(self) -> None:
        """Closes connections that are too old to be used again."""
        now = boot_time()
        for server in tuple(self.idle):
            kept = self.idle.pop(server)
            fresh = [item for item in kept if self.is_fresh(item, True, now)]
            for connection in set(kept).difference(fresh):
                connection.close()
            if fresh:
                self.idle[server] = fresh

    def close(self) -> None:
        """Closes all kept connections."""
        for server in tuple(self.idle):
            self.forget(server)


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
            return int(value)
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
    started = boot_time()
    connection = pool.take(server.id, outgoing.idempotent)
    if connection is None:
        try:
            connection = await pool.open(server)
        except (OSError, TimeoutError) as error:
            return AttemptEnd(AttemptResult.NOT_SENT, problem=repr(error))
    reused = connection.used > 0
    left = time_left - (boot_time() - started)
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
        silent = reused and not error.answered
        stale = silent and pool.was_stale(server.id, connection, started)
        return AttemptEnd(
            AttemptResult.BROKEN,
            stale=stale,
            answer_started=error.answered,
            problem=str(error),
        )
    connection.idle_limit = idle_limit(answer) or connection.idle_limit
    pool.keep(server.id, connection)
    elapsed = boot_time() - started
    result = classify(answer, outgoing.attempt_id)
    return AttemptEnd(result, answer, elapsed)
