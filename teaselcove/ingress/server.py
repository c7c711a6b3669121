"""ASGI applications of a proxy host."""

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
    parse_count,
)
from teaselcove.ids import ZoneName
from teaselcove.ingress.acceptance import Arrival
from teaselcove.ingress.calls import RefusedError
from teaselcove.ingress.clock import boot_time
from teaselcove.platform import headers as names

if TYPE_CHECKING:
    from teaselcove.ingress.daemon import IngressDaemon

log = logging.getLogger('teaselcove.requests')

# Headers that the host sets or consumes; never forwarded from the caller.
RESERVED_HEADERS = frozenset(
    (
        names.AUTHORIZATION,
        names.DEADLINE_MS,
        names.EXPECTED_SERVER,
        names.ORGANISATION,
    )
)
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP | {'date'}
CRASHING_REQUEST_STATUS = 503
# Bytes of a body that are written at a time.
PART_BYTES = 64 * 1024
OK_STATUS = 200
# Decodes and encodes every byte of headers and targets without loss.
HEADER_ENCODING = 'latin-1'
NOT_READY_STATUS = 503
NOT_FOUND_STATUS = 404
# Seconds subtracted from the deadline: callers count from the moment of
# sending, and a response sent at the deadline still has to reach them.
DEADLINE_MARGIN_S = 0.03
# Retry-After in seconds when body memory is full; by then some buffered
# bodies have been forwarded.
FULL_RETRY_AFTER_S = 0.5
JSON_TYPE = (b'content-type', b'application/json')
TEXT_TYPE = (b'content-type', b'text/plain; version=0.0.4')
HeaderPairs = list[tuple[bytes, bytes]]


class BadRequestError(Exception):
    """A request is invalid, too large or does not fit in memory."""

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason.value)


def request_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the request headers to forward to a backend server."""
    pairs = [
        (name.decode(HEADER_ENCODING).lower(), text.decode(HEADER_ENCODING))
        for name, text in raw
    ]
    connection_options = {
        token.strip().lower()
        for name, text in pairs
        if name == 'connection'
        for token in text.split(',')
    }
    dropped = (
        HOP_BY_HOP
        | RESERVED_HEADERS
        | connection_options - {'host', names.ATTEMPT_ID}
    )
    return tuple(pair for pair in pairs if pair[0] not in dropped)


def response_headers(answer: RawAnswer) -> HeaderPairs:
    """Returns the response headers to forward to the caller."""
    connection_options = {
        token.strip().lower()
        for token in (answer.header('connection') or '').split(',')
    }
    return [
        (name.encode(HEADER_ENCODING), text.encode(HEADER_ENCODING))
        for name, text in answer.headers
        if name not in DROPPED_RESPONSE_HEADERS
        and name not in connection_options
    ]


def status_of(refusal: Refusal) -> int:
    """Returns the HTTP status of a refusal.

    A request that crashes servers may be valid, so it does not get a 4xx.
    """
    if refusal.reason is Reason.CRASHING_REQUEST:
        return CRASHING_REQUEST_STATUS
    return refusal.status


class BodyMemory:
    """Limits the total size of request bodies in memory.

    Attributes:
        limit: Limit in bytes.
        reserved: Bytes of the requests in flight.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0

    def reserve(self, size: int) -> None:
        """Reserves memory for a part of a body.

        Raises:
            BadRequestError: If the limit is exceeded.
        """
        self.reserved += size
        if self.reserved > self.limit:
            full = not_run(Reason.QUEUE_FULL, FULL_RETRY_AFTER_S)
            raise BadRequestError(full)

    def release(self, size: int) -> None:
        """Releases the memory of a body."""
        self.reserved = max(0, self.reserved - size)


class CallerEndpoint:
    """ASGI application that proxies callers' requests."""

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
            self.daemon.request_metrics.record_end('caller-gone', arrived_at)
            log.info('caller-gone', extra={'figures': {'request': attempt_id}})
            return
        except (RefusedError, BadRequestError) as error:
            await self.refuse(
                scope, send, error.refusal, attempt_id, arrived_at
            )
            return
        await self.reply(
            scope, send, answer.status, response_headers(answer), answer.body
        )
        self.log_answer(arrival, answer, arrived_at)

    def log_answer(
        self, arrival: Arrival, answer: RawAnswer, arrived_at: float
    ) -> None:
        """Logs and counts a response."""
        outcome = f'answered-{answer.status // 100}xx'
        self.daemon.request_metrics.record_end(outcome, arrived_at)
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
        """Returns the response to a request.

        Raises:
            CallerDisconnectedError: If the caller disconnects first.
            RefusedError: If the request is refused.
        """
        loop = asyncio.get_running_loop()
        work = loop.create_task(self.daemon.requests.serve(arrival))
        disconnect = loop.create_task(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (work, disconnect), return_when=asyncio.FIRST_COMPLETED
            )
            # Send a finished response even if the caller disconnects now.
            if work.done():
                return work.result()
            raise CallerDisconnectedError
        finally:
            for task in (work, disconnect):
                task.cancel()
            self.daemon.body_memory.release(len(arrival.request.body))

    async def read(self, scope: Scope, receive: Receive) -> Arrival:
        """Reads a complete request.

        Raises:
            BadRequestError: If the body is too large or does not fit in memory.
            CallerDisconnectedError: If the caller disconnects while sending.
        """
        headers = {
            name.decode(HEADER_ENCODING): text.decode(HEADER_ENCODING)
            for name, text in scope['headers']
        }
        body = await self.read_body(receive)
        return Arrival(
            CallerRequest(
                scope['method'],
                scope['raw_target'].decode(HEADER_ENCODING),
                request_headers(scope['headers']),
                body,
            ),
            headers.get('host', ''),
            scope['raw_path'].decode(HEADER_ENCODING),
            key_of(headers),
            headers.get(names.ATTEMPT_ID, ''),
            parse_deadline(headers.get(names.DEADLINE_MS)),
        )

    async def read_body(self, receive: Receive) -> bytes:
        """Returns the body of a request.

        Raises:
            BadRequestError: If it is too large or does not fit in memory.
            CallerDisconnectedError: If the caller disconnects while sending.
        """
        memory = self.daemon.body_memory
        limit = self.daemon.max_body_bytes()
        body = bytearray()
        more = True
        try:
            while more:
                message = await receive()
                if message['type'] == 'http.disconnect':
                    raise CallerDisconnectedError
                part = message.get('body', b'')
                body += part
                memory.reserve(len(part))
                if len(body) > limit:
                    raise BadRequestError(not_run(Reason.TOO_LARGE))
                more = message.get('more_body', False)
        except (BadRequestError, CallerDisconnectedError):
            memory.release(len(body))
            raise
        return bytes(body)

    async def refuse(
        self,
        scope: Scope,
        send: Send,
        refusal: Refusal,
        attempt_id: str,
        arrived_at: float,
    ) -> None:
        """Sends, logs and counts a refusal."""
        status = status_of(refusal)
        headers: HeaderPairs = [JSON_TYPE]
        if attempt_id:
            headers.append((names.ATTEMPT_ID.encode(), attempt_id.encode()))
        is_not_run = refusal.outcome is Outcome.NOT_RUN
        if refusal.retry_after is not None and is_not_run:
            after = f'{refusal.retry_after:.3f}'.encode()
            headers.append((b'retry-after', after))
        body = msgspec.json.encode(
            {'outcome': refusal.outcome, 'reason': refusal.reason}
        )
        self.daemon.request_metrics.record_end(refusal.reason.value, arrived_at)
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
        await self.reply(scope, send, status, headers, body)

    async def reply(
        self,
        scope: Scope,
        send: Send,
        status: int,
        headers: HeaderPairs,
        body: bytes,
    ) -> None:
        """Sends a response with a content length.

        A host that stops closes the connection after it, unless it has already
        read the next request.
        """
        pairs = [*headers, (b'content-length', str(len(body)).encode())]
        if self.daemon.draining and not scope['has_next_request']():
            pairs.append((b'connection', b'close'))
        await send(
            {'type': 'http.response.start', 'status': status, 'headers': pairs}
        )
        # In parts, each sent once the one before it has left the write buffer.
        last = max(1, len(body)) + PART_BYTES
        for end in range(PART_BYTES, last, PART_BYTES):
            await send(
                {
                    'type': 'http.response.body',
                    'body': body[end - PART_BYTES : end],
                    'more_body': end < len(body),
                }
            )


def parse_deadline(text: str | None) -> float | None:
    """Returns the seconds to answer within; None if absent or malformed."""
    milliseconds = None if text is None else parse_count(text)
    if milliseconds is None:
        return None
    return max(0, milliseconds / MS_PER_S - DEADLINE_MARGIN_S)


async def wait_for_disconnect(receive: Receive) -> None:
    """Returns when the caller closes its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


class OperationsEndpoint:
    """ASGI application for readiness, host resolution and metrics."""

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
        """Sends the hosts that a caller should use."""
        zone = parse_query(scope).get(names.CALLER_ZONE, '')
        answer = self.daemon.resolve(ZoneName(zone))
        status = OK_STATUS if answer['addresses'] else NOT_READY_STATUS
        await respond(send, status, JSON_TYPE, answer)


def parse_query(scope: Scope) -> dict[str, str]:
    """Returns the query parameters of a request."""
    pairs = scope['query_string'].decode(HEADER_ENCODING).split('&')
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
