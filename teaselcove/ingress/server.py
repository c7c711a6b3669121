"""HTTP server side of a host on the platform."""

import asyncio
import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import msgspec
from starlette.types import Receive, Scope, Send

from teaselcove.errors import Outcome, Reason, Refusal, not_run
from teaselcove.http_connection import RawAnswer
from teaselcove.http_fields import (
    HOP_BY_HOP,
    MS_PER_S,
    CallerDisconnectedError,
    CallerRequest,
    Headers,
    key_of,
)
from teaselcove.ids import ZoneName
from teaselcove.ingress.acceptance import Arrival
from teaselcove.ingress.calls import RefusedError
from teaselcove.ingress.clock import boot_time
from teaselcove.platform import headers as names

if TYPE_CHECKING:
    from teaselcove.ingress.daemon import IngressDaemon

log = logging.getLogger('teaselcove.requests')

# Set by the host for the backend server, or meant for the host only.
OWN_HEADERS = frozenset(
    (
        names.AUTHORIZATION,
        names.DEADLINE_MS,
        names.EXPECTED_SERVER,
        names.ORGANISATION,
    )
)
NOT_RETURNED = HOP_BY_HOP | {'date'}
CRASHING_STATUS = 503
OK_STATUS = 200
# Headers and targets are bytes on the wire; this coding keeps each of them.
HTTP_CODING = 'latin-1'
NOT_READY_STATUS = 503
NOT_FOUND_STATUS = 404
# A caller counts its time from when it sent the request; an answer at its
# deadline must still reach it.
CALLER_MARGIN_S = 0.03
# Time in seconds in which some of the bodies in memory have been sent on.
FULL_RETRY_AFTER_S = 0.5
JSON_TYPE = (b'content-type', b'application/json')
TEXT_TYPE = (b'content-type', b'text/plain; version=0.0.4')
# An answer that is ready is written before the connection may close.
Pairs = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """A request that cannot be read."""

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason.value)


def forwarded(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers of a request that a backend server gets."""
    pairs = [
        (name.decode(HTTP_CODING).lower(), text.decode(HTTP_CODING))
        for name, text in raw
    ]
    listed = {
        token.strip().lower()
        for name, text in pairs
        if name == 'connection'
        for token in text.split(',')
    }
    dropped = HOP_BY_HOP | OWN_HEADERS | listed - {'host', names.ATTEMPT_ID}
    return tuple(pair for pair in pairs if pair[0] not in dropped)


def returned(answer: RawAnswer) -> Pairs:
    """Returns the headers of an answer that the caller gets."""
    listed = {
        token.strip().lower()
        for token in (answer.header('connection') or '').split(',')
    }
    return [
        (name.encode(HTTP_CODING), text.encode(HTTP_CODING))
        for name, text in answer.headers
        if name not in NOT_RETURNED and name not in listed
    ]


def status_of(refusal: Refusal) -> int:
    """Returns the status of a refusal.

    A request that crashes servers is proper, so its refusal is no 4xx.
    """
    if refusal.reason is Reason.CRASHING_REQUEST:
        return CRASHING_STATUS
    return refusal.status


class BodyMemory:
    """Bounds the bodies that a host holds together.

    Attributes:
        limit: Bytes.
        held: Bytes of the requests in progress.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    def hold(self, size: int) -> None:
        """Counts a part of a body.

        Raises:
            BadRequestError: If it does not fit.
        """
        self.held += size
        if self.held > self.limit:
            full = not_run(Reason.QUEUE_FULL, FULL_RETRY_AFTER_S)
            raise BadRequestError(full)

    def release(self, size: int) -> None:
        """Forgets a body."""
        self.held = max(0, self.held - size)


class CallerEndpoint:
    """ASGI application for callers' requests."""

    def __init__(self, daemon: 'IngressDaemon') -> None:
        self.daemon = daemon

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        arrived_at = boot_time()
        attempt_id = ''
        try:
            arrival = await self.read(scope, receive)
            attempt_id = arrival.attempt_id
            answer = await self.serve(arrival, receive)
        except CallerDisconnectedError:
            self.daemon.readout.ended('caller-gone', arrived_at)
            log.info('caller-gone', extra={'figures': {'request': attempt_id}})
            return
        except (RefusedError, BadRequestError) as error:
            await self.refuse(send, error.refusal, attempt_id, arrived_at)
            return
        await self.reply(send, answer.status, returned(answer), answer.body)
        self.log_answer(arrival, answer, arrived_at)

    def log_answer(
        self, arrival: Arrival, answer: RawAnswer, arrived_at: float
    ) -> None:
        """Writes the line of an answer."""
        outcome = f'answered-{answer.status // 100}xx'
        self.daemon.readout.ended(outcome, arrived_at)
        log.info(
            'answered',
            extra={
                'figures': {
                    'request': arrival.attempt_id,
                    'status': answer.status,
                    'ms': int((boot_time() - arrived_at) * MS_PER_S),
                }
            },
        )

    async def serve(self, arrival: Arrival, receive: Receive) -> RawAnswer:
        """Returns the answer to a request, unless the caller leaves.

        Raises:
            CallerDisconnectedError: If it leaves first.
            RefusedError: If there is no answer.
        """
        loop = asyncio.get_running_loop()
        work = loop.create_task(self.daemon.requests.serve(arrival))
        gone = loop.create_task(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                return work.result()
            raise CallerDisconnectedError
        finally:
            for task in (work, gone):
                task.cancel()
            self.daemon.body_memory.release(len(arrival.request.body))

    async def read(self, scope: Scope, receive: Receive) -> Arrival:
        """Reads a whole request.

        Raises:
            BadRequestError: If it is not valid or too large.
            CallerDisconnectedError: If the caller leaves before its end.
        """
        headers = {
            name.decode(HTTP_CODING): text.decode(HTTP_CODING)
            for name, text in scope['headers']
        }
        body = await self.read_body(receive)
        return Arrival(
            CallerRequest(
                scope['method'],
                scope['raw_target'].decode(HTTP_CODING),
                forwarded(scope['headers']),
                body,
            ),
            headers.get('host', ''),
            scope['raw_path'].decode(HTTP_CODING),
            key_of(headers),
            headers.get(names.ATTEMPT_ID, ''),
            time_left_of(headers.get(names.DEADLINE_MS)),
        )

    async def read_body(self, receive: Receive) -> bytes:
        """Returns the body of a request.

        Raises:
            BadRequestError: If it is too large, or too much is held already.
            CallerDisconnectedError: If the connection closes before its end.
        """
        memory = self.daemon.body_memory
        limit = self.daemon.max_body_bytes()
        parts: list[bytes] = []
        size = 0
        more = True
        try:
            while more:
                message = await receive()
                if message['type'] == 'http.disconnect':
                    raise CallerDisconnectedError
                parts.append(message.get('body', b''))
                size += len(parts[-1])
                memory.hold(len(parts[-1]))
                if size > limit:
                    raise BadRequestError(not_run(Reason.TOO_LARGE))
                more = message.get('more_body', False)
        except (BadRequestError, CallerDisconnectedError):
            memory.release(size)
            raise
        return b''.join(parts)

    async def refuse(
        self, send: Send, refusal: Refusal, attempt_id: str, arrived_at: float
    ) -> None:
        """Sends a refusal."""
        status = status_of(refusal)
        headers: Pairs = [JSON_TYPE]
        if attempt_id:
            headers.append((names.ATTEMPT_ID.encode(), attempt_id.encode()))
        promises = refusal.outcome is Outcome.NOT_RUN
        if refusal.retry_after is not None and promises:
            after = f'{refusal.retry_after:.3f}'.encode()
            headers.append((b'retry-after', after))
        body = msgspec.json.encode(
            {'outcome': refusal.outcome, 'reason': refusal.reason}
        )
        self.daemon.readout.ended(refusal.reason.value, arrived_at)
        log.warning(
            'refused',
            extra={
                'figures': {
                    'request': attempt_id,
                    'status': status,
                    'outcome': refusal.outcome.value,
                    'reason': refusal.reason.value,
                    'retry_after': refusal.retry_after,
                    'ms': int((boot_time() - arrived_at) * MS_PER_S),
                }
            },
        )
        await self.reply(send, status, headers, body)

    async def reply(
        self, send: Send, status: int, headers: Pairs, body: bytes
    ) -> None:
        """Sends a response with its length."""
        pairs = [*headers, (b'content-length', str(len(body)).encode())]
        if self.daemon.draining:
            pairs.append((b'connection', b'close'))
        await send(
            {'type': 'http.response.start', 'status': status, 'headers': pairs}
        )
        await send({'type': 'http.response.body', 'body': body})


def time_left_of(text: str | None) -> float | None:
    """Returns how long a caller waits in seconds, or None if unknown."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return max(0, int(text) / MS_PER_S - CALLER_MARGIN_S)


async def wait_for_disconnect(receive: Receive) -> None:
    """Returns when the caller closes its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


class OwnEndpoint:
    """ASGI application for readiness, metrics and hosts to use."""

    def __init__(self, daemon: 'IngressDaemon') -> None:
        self.daemon = daemon

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        path = scope['path']
        if path == names.READY_PATH:
            ready = self.daemon.is_ready()
            status = OK_STATUS if ready else NOT_READY_STATUS
            await respond(send, status, JSON_TYPE, {'ready': ready})
        elif path == names.RESOLVE_PATH:
            await self.resolve(scope, send)
        elif path == names.METRICS_PATH:
            text = self.daemon.metrics()
            await respond_bytes(send, OK_STATUS, TEXT_TYPE, text.encode())
        else:
            await respond(send, NOT_FOUND_STATUS, JSON_TYPE, {})

    async def resolve(self, scope: Scope, send: Send) -> None:
        """Tells a caller which hosts to use."""
        zone = query_of(scope).get(names.CALLER_ZONE, '')
        answer = self.daemon.resolve(ZoneName(zone))
        status = OK_STATUS if answer['addresses'] else NOT_READY_STATUS
        await respond(send, status, JSON_TYPE, answer)


def query_of(scope: Scope) -> dict[str, str]:
    """Returns the parameters of a query."""
    pairs = scope['query_string'].decode(HTTP_CODING).split('&')
    parts = [pair.partition('=') for pair in pairs]
    return {part[0]: part[2] for part in parts}


async def respond(
    send: Send, status: int, content_type: tuple[bytes, bytes], body: Any
) -> None:
    """Sends a JSON response."""
    await respond_bytes(send, status, content_type, msgspec.json.encode(body))


async def respond_bytes(
    send: Send, status: int, content_type: tuple[bytes, bytes], body: bytes
) -> None:
    """Sends a response."""
    headers = [content_type, (b'content-length', str(len(body)).encode())]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})
