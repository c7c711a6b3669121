"""Listeners that serve ASGI applications without the server's main loop."""

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
# A colon, a space and the end of the line of each header.
HEADER_OVERHEAD_BYTES = 4


class ConnectionLimits(msgspec.Struct, frozen=True):
    """What a caller's connection may do.

    Attributes:
        idle_timeout: Seconds that it may be idle between requests.
        header_timeout: Seconds that the headers of a request may take.
        max_header_bytes: Size of the target and the headers together.
    """

    idle_timeout: float = 75
    header_timeout: float = 30
    max_header_bytes: int = 65536


class HeadersRefusedError(Exception):
    """The headers of a request are too large."""


class IngressProtocol(HttpToolsProtocol):
    """Adds the target as the caller sent it, and the limits in force.

    The parsed path and query lose an empty query.

    Attributes:
        head_timer: Ends the connection if headers take too long.
        unparsed_bytes: Bytes of headers that came after their first part.
        refusal: Status for a request whose headers cannot be read.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        state: ServerState,
        limits: Callable[[], ConnectionLimits],
    ) -> None:
        super().__init__(config, state, {})
        self.limits = limits
        self.head_timer: asyncio.TimerHandle | None = None
        self.unparsed_bytes = 0
        self.refusal = HTTPStatus.BAD_REQUEST

    def data_received(self, data: bytes) -> None:
        """Parses bytes; refuses headers that grow beyond the limit."""
        reading_head = self.head_timer is not None
        super().data_received(data)
        if reading_head and self.head_timer is not None:
            self.unparsed_bytes += len(data)
            if self.unparsed_bytes > self.limits().max_header_bytes:
                self.refuse_head(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Starts to wait for the end of the headers."""
        super().on_message_begin()
        self.unparsed_bytes = 0
        self.head_timer = self.loop.call_later(
            self.limits().header_timeout,
            self.refuse_head,
            HTTPStatus.REQUEST_TIMEOUT,
        )

    def on_headers_complete(self) -> None:
        """Adds the target to the scope.

        Raises:
            HeadersRefusedError: If the headers are too large.
        """
        self.stop_head_timer()
        limits = self.limits()
        size = len(self.url) + sum(
            len(name) + len(text) + HEADER_OVERHEAD_BYTES
            for name, text in self.headers
        )
        if size > limits.max_header_bytes:
            self.refusal = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            raise HeadersRefusedError(size)
        self.scope['raw_target'] = self.url
        self.timeout_keep_alive = limits.idle_timeout
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuses a request that cannot be parsed."""
        self.refuse_head(self.refusal)

    def refuse_head(self, status: HTTPStatus) -> None:
        """Sends a refusal and closes the connection."""
        self.stop_head_timer()
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
        """Forgets the connection."""
        self.stop_head_timer()
        super().connection_lost(exc)

    def stop_head_timer(self) -> None:
        """Stops to wait for the end of headers."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None


class Listener:
    """Serves an application on one address.

    Attributes:
        state: Connections and tasks of the listener.
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
        """Returns the protocol of a new connection."""
        return IngressProtocol(self.config, self.state, self.limits)

    async def start(self) -> None:
        """Starts to accept connections.

        Raises:
            OSError: If the address cannot be used.
        """
        self.config.load()
        listener = listening_socket(self.host, self.port)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.protocol, sock=listener, backlog=LISTEN_BACKLOG
        )

    def stop(self) -> None:
        """Accepts no more connections and closes those between requests."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.state.connections):
            connection.shutdown()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return bool(self.state.tasks)
