"""Listeners that serve ASGI applications without uvicorn's main loop."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus

import msgspec
import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from teaselcove.listening import listening_socket

log = logging.getLogger('teaselcove.requests')

LISTEN_BACKLOG = 1024
# Colon, space and CRLF of each header line.
HEADER_OVERHEAD_BYTES = 4


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limits of a caller's connection.

    Attributes:
        idle_timeout: Seconds that it may stay idle between requests.
        header_timeout: Seconds in which all headers must arrive.
        max_header_bytes: Total size of the target and the headers.
    """

    idle_timeout: float = 75
    header_timeout: float = 30
    max_header_bytes: int = 65536


class HeadersTooLargeError(Exception):
    """The headers of a request are too large."""


class IngressProtocol(HttpToolsProtocol):
    """HTTP protocol that enforces limits and keeps the raw target.

    The raw target is needed because parsing drops an empty query.

    Attributes:
        header_timer: Closes the connection if headers take too long.
        pending_header_bytes: Header bytes received after the first chunk.
        refusal_status: Status sent if the headers cannot be parsed.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        state: ServerState,
        limits: Callable[[], ConnectionLimits],
    ) -> None:
        super().__init__(config, state, {})
        self.limits = limits
        self.header_timer: asyncio.TimerHandle | None = None
        self.pending_header_bytes = 0
        self.refusal_status = HTTPStatus.BAD_REQUEST

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; refuses headers beyond the size limit."""
        reading_headers = self.header_timer is not None
        super().data_received(data)
        if reading_headers and self.header_timer is not None:
            self.pending_header_bytes += len(data)
            if self.pending_header_bytes > self.limits().max_header_bytes:
                self.refuse_request(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Starts the header timer."""
        super().on_message_begin()
        self.pending_header_bytes = 0
        self.header_timer = self.loop.call_later(
            self.limits().header_timeout,
            self.refuse_request,
            HTTPStatus.REQUEST_TIMEOUT,
        )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; the fields of a trailer are dropped."""
        if self.header_timer is not None:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Checks the size of the headers and adds the target to the scope.

        Raises:
            HeadersTooLargeError: If the headers are too large.
        """
        self.stop_header_timer()
        limits = self.limits()
        size = len(self.url) + sum(
            len(name) + len(text) + HEADER_OVERHEAD_BYTES
            for name, text in self.headers
        )
        if size > limits.max_header_bytes:
            self.refusal_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise HeadersTooLargeError(size)
        self.scope['raw_target'] = self.url
        self.scope['has_next_request'] = self.has_next_request
        self.timeout_keep_alive = limits.idle_timeout
        super().on_headers_complete()

    def has_next_request(self) -> bool:
        """Returns whether a request was read behind the one being served."""
        return bool(self.pipeline)

    @property
    def is_unfinished(self) -> bool:
        """Whether a request or a part of an answer is still to be handled.

        The task of a request ends when its answer is in the write buffer.
        """
        answering = self.cycle is not None and not self.cycle.response_complete
        return answering or self.transport.get_write_buffer_size() > 0

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuses a request that cannot be parsed."""
        self.refuse_request(self.refusal_status)

    def refuse_request(self, status: HTTPStatus) -> None:
        """Sends an error status and closes the connection."""
        self.stop_header_timer()
        if self.transport.is_closing():
            return
        log.warning('head-refused', extra={'figures': {'status': status.value}})
        lines = (
            f'HTTP/1.1 {status.value} {status.phrase}',
            'content-length: 0',
            'connection: close',
        )
        self.transport.write('\r\n'.join((*lines, '', '')).encode())
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the header timer."""
        self.stop_header_timer()
        super().connection_lost(exc)

    def stop_header_timer(self) -> None:
        """Cancels the header timer if it runs."""
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None


class Listener:
    """Serves an application on one address.

    Attributes:
        state: Open connections and running tasks of the listener.
    """

    def __init__(
        self,
        app: ASGIApp,
        address: str,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    ) -> None:
        host, _, port = address.rpartition(':')
        self.host = host
        self.port = int(port)
        self.limits = limits
        self.state = ServerState()
        self.config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            lifespan='off',
            ws='none',
        )
        self.server: asyncio.Server | None = None

    def protocol(self) -> IngressProtocol:
        """Creates the protocol for a new connection."""
        return IngressProtocol(self.config, self.state, self.limits)

    async def start(self) -> None:
        """Starts accepting connections.

        Raises:
            OSError: If the address cannot be used.
        """
        if not self.config.loaded:
            self.config.load()
        listener = listening_socket(self.host, self.port)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.protocol, sock=listener, backlog=LISTEN_BACKLOG
        )

    def stop(self) -> None:
        """Stops accepting connections and closes idle ones."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.state.connections):
            connection.shutdown()

    @property
    def is_open(self) -> bool:
        """Whether it accepts connections, or did before it was stopped."""
        return self.server is not None

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight or an answer still being sent."""
        return bool(self.state.tasks) or any(
            connection.is_unfinished for connection in self.state.connections
        )
