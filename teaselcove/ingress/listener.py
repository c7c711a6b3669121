"""Listeners that serve ASGI applications without the server's main loop."""

import asyncio
from collections.abc import Callable

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from teaselcove.listening import listening_socket

LISTEN_BACKLOG = 1024


class IngressProtocol(HttpToolsProtocol):
    """Adds the target as the caller sent it, and the idle time in force.

    The parsed path and query lose an empty query.
    """

    idle_timeout: Callable[[], float] = staticmethod(lambda: 75)

    def on_headers_complete(self) -> None:
        """Adds the target to the scope."""
        self.scope['raw_target'] = self.url
        self.timeout_keep_alive = self.idle_timeout()
        super().on_headers_complete()


class Listener:
    """Serves an application on one address.

    Attributes:
        state: Connections and tasks of the listener.
    """

    def __init__(
        self, app: ASGIApp, address: str, idle_timeout: Callable[[], float]
    ) -> None:
        host, _, port = address.rpartition(':')
        self.host = host
        self.port = int(port)
        self.idle_timeout = idle_timeout
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
        protocol = IngressProtocol(self.config, self.state, {})
        protocol.idle_timeout = self.idle_timeout
        return protocol

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
