"""HTTP server for callers' requests and for status and metrics."""

import asyncio
import hashlib
from typing import TYPE_CHECKING, Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from teaselcove.errors import Reason, not_run
from teaselcove.events import RequestArrived
from teaselcove.http_fields import (
    MS_PER_S,
    CallerDisconnectedError,
    CallerRequest,
    key_of,
)
from teaselcove.ids import OPEN_ORGANISATION, RequestId
from teaselcove.proxy import forwarded_headers
from teaselcove.replies import Reply, refusal_reply

if TYPE_CHECKING:
    from teaselcove.daemon import Daemon

TIMEOUT_HEADER = 'teaselcove-timeout-ms'
IDEMPOTENCY_HEADER = 'idempotency-key'
BODY_TIMEOUT_S = 10
DIGEST_BYTES = 16
OK_STATUS = 200
MAX_IDEMPOTENCY_KEY = 256
DOT_SEGMENTS = frozenset(('.', '..'))
MAX_HEADER_BYTES = 32 * 1024
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


class BadRequestError(Exception):
    """Raised when a request is refused before it reaches the core."""

    def __init__(self, reason: Reason) -> None:
        self.reason = reason
        super().__init__(reason.value)


def digest_of(request: CallerRequest) -> bytes:
    """Returns a digest of method, target and body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f'{request.method} {request.target}\n'.encode())
    digest.update(request.body)
    return digest.digest()


class ProxyEndpoint:
    """ASGI application that serves all paths of routes."""

    def __init__(self, daemon: 'Daemon') -> None:
        self.daemon = daemon

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request."""
        request_id = self.daemon.frontend.next_request_id()
        try:
            headers = decode_headers(scope)
            request = await self.read_request(scope, headers, receive)
            arrival = make_arrival(request_id, scope, headers, request)
        except BadRequestError as error:
            refusal = not_run(error.reason)
            self.daemon.frontend.count_refusal(refusal)
            await self.send_reply(send, refusal_reply(request_id, refusal))
            return
        except CallerDisconnectedError:
            return
        reply = await self.daemon.frontend.serve_request(
            arrival, request, receive
        )
        if reply is not None:
            await self.send_reply(send, reply)

    async def read_request(
        self, scope: Scope, headers: dict[str, str], receive: Receive
    ) -> CallerRequest:
        """Reads a request with its body.

        Raises:
            BadRequestError: If it is too large or arrives too slowly.
        """
        size = sum(len(name) + len(text) for name, text in scope['headers'])
        if size > MAX_HEADER_BYTES:
            raise BadRequestError(Reason.TOO_LARGE)
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await self.read_body(receive)
        except TimeoutError as error:
            raise BadRequestError(Reason.BAD_REQUEST) from error
        query = scope['query_string'].decode('latin-1')
        path = scope['raw_path'].decode('latin-1')
        target = f'{path}?{query}' if query else path
        pairs = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in scope['headers']
        ]
        return CallerRequest(
            scope['method'], target, forwarded_headers(pairs), body
        )

    async def read_body(self, receive: Receive) -> bytes:
        """Returns the body of a request.

        Raises:
            BadRequestError: If it is too large.
            CallerDisconnectedError: If the caller disconnects before the end.
        """
        parts = []
        size = 0
        more = True
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise CallerDisconnectedError
            part = message.get('body', b'')
            size += len(part)
            if size > self.daemon.settings.max_request_bytes:
                raise BadRequestError(Reason.TOO_LARGE)
            parts.append(part)
            more = message.get('more_body', False)
        return b''.join(parts)

    async def send_reply(self, send: Send, reply: Reply) -> None:
        """Sends a reply to the caller."""
        headers = [
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in reply.headers
        ]
        length = str(len(reply.body)).encode()
        headers.append((b'content-length', length))
        if self.daemon.draining:
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': reply.body})


def decode_headers(scope: Scope) -> dict[str, str]:
    """Returns the headers of a request by lowercase name.

    Raises:
        BadRequestError: If the key, the idempotency key or the timeout is
            given twice.
    """
    headers: dict[str, str] = {}
    single = {'authorization', IDEMPOTENCY_HEADER, TIMEOUT_HEADER}
    for raw_name, raw_text in scope['headers']:
        name = raw_name.decode('latin-1').lower()
        if name in single and name in headers:
            raise BadRequestError(Reason.BAD_REQUEST)
        headers[name] = raw_text.decode('latin-1')
    return headers


def make_arrival(
    request_id: RequestId,
    scope: Scope,
    headers: dict[str, str],
    request: CallerRequest,
) -> RequestArrived:
    """Creates the event for a request.

    Raises:
        BadRequestError: If the path or a header is invalid.
    """
    # A backend server might resolve dot segments, so that a path on an open
    # route would reach a call that requires a key.
    if DOT_SEGMENTS & set(scope['path'].split('/')):
        raise BadRequestError(Reason.BAD_REQUEST)
    idempotency_key = headers.get(IDEMPOTENCY_HEADER)
    if len(idempotency_key or '') > MAX_IDEMPOTENCY_KEY:
        raise BadRequestError(Reason.BAD_REQUEST)
    return RequestArrived(
        request_id,
        scope['method'],
        scope['path'],
        key_of(headers),
        idempotency_key,
        digest_of(request),
        timeout_of(headers),
    )


def timeout_of(headers: dict[str, str]) -> float | None:
    """Returns the caller's timeout in seconds, or None.

    Raises:
        BadRequestError: If it is not a positive integer.
    """
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not int(text):
        raise BadRequestError(Reason.BAD_REQUEST)
    return int(text) / MS_PER_S


def json_response(body: Any, status: int = OK_STATUS) -> Response:
    """Creates a JSON response."""
    return Response(
        msgspec.json.encode(body, enc_hook=str),
        status,
        media_type='application/json',
    )


class FleetEndpoints:
    """Endpoints below `/teaselcove`."""

    def __init__(self, daemon: 'Daemon') -> None:
        self.daemon = daemon

    async def hosts(self, request: Request) -> Response:
        """Returns the hosts that a caller should use."""
        text = key_of({**request.headers})
        organisation = OPEN_ORGANISATION
        if text is not None:
            key = self.daemon.driver.kernel.service('keys').check(text)
            if key is None:
                refusal = not_run(Reason.BAD_KEY)
                return json_response({'reason': refusal.reason}, refusal.status)
            organisation = key.organisation
        return json_response(self.daemon.hosts_for(organisation))

    async def status(self, request: Request) -> Response:
        """Returns the configuration version and the known hosts."""
        return json_response(self.daemon.status())

    async def metrics(self, request: Request) -> Response:
        """Returns counters and latency histograms."""
        return json_response(self.daemon.metrics())


def application(daemon: 'Daemon') -> Starlette:
    """Creates the HTTP application of a host."""
    endpoints = FleetEndpoints(daemon)
    return Starlette(
        routes=[
            Route('/teaselcove/hosts', endpoints.hosts),
            Route('/teaselcove/status', endpoints.status),
            Route('/teaselcove/metrics', endpoints.metrics),
            Route('/{path:path}', ProxyEndpoint(daemon), methods=METHODS),
        ]
    )
