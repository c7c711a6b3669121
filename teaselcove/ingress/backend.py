"""Sends requests to backend servers over pooled and new connections."""

import asyncio
from collections import defaultdict

import msgspec

from teaselcove.answer_memory import AnswerMemory
from teaselcove.entities import Server
from teaselcove.events import AttemptResult
from teaselcove.http_connection import (
    ConnectionBrokenError,
    HttpConnection,
    RawAnswer,
    connect,
)
from teaselcove.http_fields import MS_PER_S, CallerRequest, parse_count
from teaselcove.ids import BackendServerId, Instant, OrganisationId
from teaselcove.ingress.announcements import Announcement
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.idle_limits import IdleLimits
from teaselcove.platform import headers as names

# Connecting across availability zones takes two milliseconds. A lost SYN is
# retransmitted only after one second, so trying another server is faster.
CONNECT_TIMEOUT_S = 0.35
# Milliseconds for which sent data may stay unacknowledged.
USER_TIMEOUT_MS = 3000
# A connection that the server has already closed is reset within one round
# trip (the limit leaves a wide margin) and only after some idle time.
MAX_STALE_RESET_S = 0.03
MIN_STALE_IDLE_S = 0.1
# A server that resets another connection within this time is failing.
STALE_REPEAT_S = 2
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
KEEP_ALIVE = 'keep-alive'
# Results whose response is of the server that the request was sent to.
OWN_ANSWERS = frozenset((AttemptResult.COMPLETE, AttemptResult.SHED))
# Results by which a server states that it has not run a request.
REFUSED = frozenset((AttemptResult.SHED, AttemptResult.MISDIRECTED))


class AttemptEnd(msgspec.Struct):
    """Outcome of one attempt.

    Attributes:
        stale: Whether a reused connection closed before any byte of a
            response, which says little about the server's health.
        answer_started: Whether any byte of a response arrived.
        problem: Description of the failure, for the log.
    """

    result: AttemptResult
    answer: RawAnswer | None = None
    elapsed: float = 0
    stale: bool = False
    answer_started: bool = False
    problem: str = ''

    @property
    def status(self) -> int | None:
        """Status code of the response, or None."""
        return self.answer.status if self.answer else None

    @property
    def limit(self) -> float | None:
        """Requests per second that the server takes from all hosts, or None."""
        if self.answer is None:
            return None
        return names.decode_server_limit(self.answer.header(names.SERVER_LIMIT))

    @property
    def announcement(self) -> Announcement:
        """What the response says of the server that gave it."""
        if self.answer is None or self.result not in OWN_ANSWERS:
            return Announcement()
        pause = None
        if self.answer.status == UNAVAILABLE_STATUS:
            pause = names.decode_retry_after(
                self.answer.header(names.RETRY_AFTER)
            )
        leaving = self.answer.header(names.SERVER_LEAVING) == names.LEAVES
        return Announcement(leaving, pause)

    @property
    def result_for_health(self) -> AttemptResult:
        """Result to record for the server's health: cancelled if stale."""
        return AttemptResult.CANCELLED if self.stale else self.result


class BackendPool:
    """Pool of idle connections to backend servers.

    Attributes:
        memory: Counts the bytes of all responses.
        limits: How long connections may stay idle.
        stale_at: When each server last reset an idle connection.
        connections_opened: Connections opened since the start.
    """

    def __init__(
        self, local_ip: str, max_answer_bytes: int, memory: AnswerMemory
    ) -> None:
        self.local_ip = local_ip
        self.max_answer_bytes = max_answer_bytes
        self.memory = memory
        self.idle: defaultdict[BackendServerId, list[HttpConnection]] = (
            defaultdict(list)
        )
        self.limits = IdleLimits()
        self.stale_at: dict[BackendServerId, Instant] = {}
        self.connections_opened = 0

    def acquire(
        self,
        server: BackendServerId,
        idempotent: bool,
        refused_on: set[HttpConnection],
    ) -> HttpConnection | None:
        """Returns the most recently used idle connection, or None.

        Args:
            server: The server.
            idempotent: Whether the request may run more than once.
            refused_on: Connections on which it was refused before.
        """
        connections = self.idle[server]
        now = boot_time()
        unusable: list[HttpConnection] = []
        found: HttpConnection | None = None
        while connections and found is None:
            connection = connections.pop()
            if connection in refused_on:
                unusable.append(connection)
            elif self.is_fresh(connection, idempotent, now):
                found = connection
            else:
                connection.close()
        connections.extend(reversed(unusable))
        return found

    def is_fresh(
        self, connection: HttpConnection, idempotent: bool, now: Instant
    ) -> bool:
        """Returns whether an idle connection may be reused."""
        announced = connection.idle_limit
        limit = self.limits.limit(announced, idempotent, now)
        return connection.is_usable and now - connection.idle_since < limit

    def release(
        self, server: BackendServerId, connection: HttpConnection
    ) -> None:
        """Returns a connection to the pool, or closes it if unusable."""
        if not connection.is_usable:
            connection.close()
            return
        connection.idle_since = boot_time()
        self.idle[server].append(connection)

    async def open(self, server: Server) -> HttpConnection:
        """Opens a connection to a server.

        Raises:
            OSError: If the server refuses the connection.
            TimeoutError: If the server does not answer.
        """
        self.connections_opened += 1
        return await connect(
            server.address,
            CONNECT_TIMEOUT_S,
            USER_TIMEOUT_MS,
            self.max_answer_bytes,
            self.memory,
            self.local_ip,
        )

    def detect_stale(
        self, server: BackendServerId, connection: HttpConnection, sent: Instant
    ) -> bool:
        """Returns whether the server had already closed an idle connection.

        Also lowers the idle limit. A server that resets requests looks the
        same, but does so again soon.

        Args:
            server: The server.
            connection: The connection, closed before any byte of a response.
            sent: When the request was sent.
        """
        now = boot_time()
        idle = sent - connection.idle_since
        last_stale_at = self.stale_at.get(server, Instant(float('-inf')))
        if now - sent > MAX_STALE_RESET_S or idle < MIN_STALE_IDLE_S:
            return False
        self.limits.record_loss(idle, now)
        self.stale_at[server] = now
        return now - last_stale_at > STALE_REPEAT_S

    def close_idle_to(self, server: BackendServerId) -> None:
        """Closes the idle connections to a server."""
        for connection in self.idle.pop(server, []):
            connection.close()

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        now = boot_time()
        for server in tuple(self.idle):
            connections = self.idle.pop(server)
            fresh = [
                item for item in connections if self.is_fresh(item, True, now)
            ]
            for connection in set(connections).difference(fresh):
                connection.close()
            if fresh:
                self.idle[server] = fresh

    def close(self) -> None:
        """Closes all idle connections."""
        for server in tuple(self.idle):
            self.close_idle_to(server)


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A caller's request with the data that the host adds to it.

    Attributes:
        refused_on: Connections on which a server has refused the request. It
            may send that refusal once more, as if for a later attempt.
    """

    request: CallerRequest
    attempt_id: str
    organisation: OrganisationId | None
    idempotent: bool
    refused_on: set[HttpConnection] = set()


def encode_request(
    outgoing: OutgoingRequest, server: BackendServerId, time_left: float
) -> bytes:
    """Returns the bytes of a request to a backend server."""
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


def announced_idle_limit(answer: RawAnswer) -> float | None:
    """Returns the timeout in the Keep-Alive header in seconds, or None."""
    text = answer.header(KEEP_ALIVE)
    for part in (text or '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout':
            return parse_count(value)
    return None


def classify(answer: RawAnswer, attempt_id: str, reused: bool) -> AttemptResult:
    """Returns the result of an attempt that got a response.

    A request counts as not run only if the server states so, in a response
    that cannot belong to an earlier request on the connection.
    """
    has_id = answer.header(names.ATTEMPT_ID) is not None
    misdirected = answer.status == MISDIRECTED_STATUS
    if misdirected or answer.header(names.NOT_EXECUTED) is not None:
        if reused and not has_id:
            return AttemptResult.MISMATCHED
        return AttemptResult.MISDIRECTED if misdirected else AttemptResult.SHED
    if attempt_id and not has_id:
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
    """Sends a request to a server and returns the outcome.

    Args:
        pool: Connection pool.
        server: The server.
        outgoing: The request.
        time_left: Seconds until the caller's deadline.
    """
    started = boot_time()
    connection = pool.acquire(
        server.id, outgoing.idempotent, outgoing.refused_on
    )
    if connection is None:
        try:
            connection = await pool.open(server)
        except (OSError, TimeoutError) as error:
            return AttemptEnd(AttemptResult.NOT_SENT, problem=repr(error))
    reused = connection.request_count > 0
    remaining = time_left - (boot_time() - started)
    payload = encode_request(outgoing, server.id, remaining)
    try:
        async with asyncio.timeout(remaining):
            answer = await connection.exchange(
                payload,
                (names.ATTEMPT_ID, outgoing.attempt_id),
                outgoing.request.method == 'HEAD',
            )
    except TimeoutError:
        connection.close()
        return AttemptEnd(
            AttemptResult.TIMED_OUT, problem='timed out waiting for a response'
        )
    except ConnectionBrokenError as error:
        connection.close()
        unanswered = reused and not error.answer_started
        stale = unanswered and pool.detect_stale(server.id, connection, started)
        return AttemptEnd(
            AttemptResult.BROKEN,
            stale=stale,
            answer_started=error.answer_started,
            problem=str(error),
        )
    connection.idle_limit = (
        announced_idle_limit(answer) or connection.idle_limit
    )
    result = classify(answer, outgoing.attempt_id, reused)
    if result is AttemptResult.MISMATCHED:
        # The response to this request may still come.
        connection.close()
    elif result in REFUSED:
        outgoing.refused_on.add(connection)
    pool.release(server.id, connection)
    return AttemptEnd(result, answer, boot_time() - started)
