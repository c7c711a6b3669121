"""A client's HTTP/1.1 connection.

Written on a parser library instead of an HTTP client, because the client in
use elsewhere hides two things that decide on the platform: whether an answer
without a length ended with a reset, and answers that belong to an earlier
request. It also takes a fifth of the memory of a small process.
"""

import asyncio
import socket
from typing import Any

import httptools
import msgspec

from teaselcove.http_fields import BODYLESS_STATUS, Headers

INFORMATIONAL = 200
MAX_HEADER_BYTES = 64 * 1024
# Finds connections that go silent while they wait: after a second without
# data a probe each second, the third of which ends the connection.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2


class ConnectionBrokenError(Exception):
    """The connection ended, or its bytes are no answer.

    Attributes:
        status: Status of the answer that was cut short, or None.
        answered: Whether any byte of an answer had come.
    """

    def __init__(
        self, problem: str, status: int | None, answered: bool
    ) -> None:
        self.status = status
        self.answered = answered
        super().__init__(problem)


class RawAnswer(msgspec.Struct):
    """An answer as it was read.

    Attributes:
        headers: Names in lower case.
    """

    status: int
    headers: Headers
    body: bytes
    reusable: bool

    def header(self, name: str) -> str | None:
        """Returns the first header of a name, or None."""
        for found, text in self.headers:
            if found == name:
                return text
        return None


class PartialAnswer:
    """An answer while it is read."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: list[tuple[str, str]] = []
        self.header_bytes = 0
        self.parts: list[bytes] = []
        self.size = 0
        self.ends_with_connection = False


class HttpConnection(asyncio.Protocol):
    """Sends one request at a time and reads its answer.

    Attributes:
        idle_since: When it was last used, on the event loop's clock.
        idle_limit: Seconds after which the server closes it, as announced;
            None if it did not say.
        used: Requests sent on it.
    """

    def __init__(self, max_answer_bytes: int) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.partial: PartialAnswer | None = None
        self.waiter: asyncio.Future[RawAnswer] | None = None
        self.echo: tuple[str, str] | None = None
        self.bodyless = False
        self.closed = False
        self.spoiled = False
        self.answered = False
        self.idle_since = float(0)
        self.idle_limit: float | None = None
        self.used = 0

    def connection_made(self, transport: Any) -> None:
        """Keeps the transport."""
        self.transport = transport

    async def exchange(
        self,
        payload: bytes,
        echo: tuple[str, str] | None = None,
        bodyless: bool = False,
    ) -> RawAnswer:
        """Sends a request and returns its answer.

        Args:
            payload: The request as bytes.
            echo: Name and content of a header; an answer in which it differs
                belongs to another request.
            bodyless: Whether the answer has no body whatever it says.

        Raises:
            ConnectionBrokenError: If no whole answer came.
        """
        self.echo = echo
        self.bodyless = bodyless
        self.answered = False
        self.used += 1
        self.waiter = asyncio.get_running_loop().create_future()
        assert self.transport is not None  # noqa: S101
        self.transport.write(payload)
        try:
            return await self.waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.waiter = None

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent."""
        return not (self.closed or self.spoiled)

    def close(self) -> None:
        """Closes the connection at once; the server stops its work."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses what the server sends."""
        if self.waiter is None:
            # Bytes that belong to no request.
            self.close()
            return
        self.answered = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.spoiled = True
            self.fail(f'no valid answer: {error}')
        except httptools.HttpParserUpgrade:
            self.spoiled = True
            self.fail('the server changed the protocol')

    def eof_received(self) -> bool:
        """Ends an answer whose end is that of the connection."""
        partial = self.partial
        if partial is not None and partial.ends_with_connection:
            self.finish(partial, reusable=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the request that waits."""
        self.closed = True
        self.fail('the connection ended' if exc is None else repr(exc))

    def fail(self, problem: str) -> None:
        """Ends the exchange without an answer."""
        waiter = self.waiter
        if waiter is not None and not waiter.done():
            status = self.partial.status if self.partial else None
            waiter.set_exception(
                ConnectionBrokenError(problem, status, self.answered)
            )

    def on_message_begin(self) -> None:
        """Starts an answer; a second one spoils the connection."""
        waiter = self.waiter
        if waiter is None or waiter.done():
            self.spoiled = True
        self.partial = PartialAnswer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        partial = self.partial
        if partial is None:
            return
        partial.header_bytes += len(name) + len(value)
        if partial.header_bytes > MAX_HEADER_BYTES:
            self.spoiled = True
            self.fail('the headers of the answer are too large')
            return
        partial.headers.append(
            (
                name.decode('latin-1').lower(),
                value.decode('latin-1').rstrip(' \t'),
            )
        )

    def on_headers_complete(self) -> None:
        """Finds out where the answer ends."""
        partial = self.partial
        if partial is None:
            return
        partial.status = self.parser.get_status_code()
        if partial.status < INFORMATIONAL:
            return
        headers = dict(partial.headers)
        bodyless = self.bodyless or partial.status in BODYLESS_STATUS
        framed = 'content-length' in headers or 'transfer-encoding' in headers
        partial.ends_with_connection = not (bodyless or framed)
        if self.bodyless:
            # The parser would wait for the body that the headers announce.
            self.finish(partial, reusable=False)

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body."""
        partial = self.partial
        if partial is None:
            return
        partial.size += len(body)
        if partial.size > self.max_answer_bytes:
            self.spoiled = True
            self.fail('the answer is too large')
            self.close()
            return
        partial.parts.append(body)

    def on_message_complete(self) -> None:
        """Ends an answer whose end it states itself."""
        partial = self.partial
        self.partial = None
        if partial is None or (partial.status or 0) < INFORMATIONAL:
            return
        self.finish(partial, self.parser.should_keep_alive())

    def finish(self, partial: PartialAnswer, reusable: bool) -> None:
        """Hands over an answer, unless it belongs to another request."""
        waiter = self.waiter
        answer = RawAnswer(
            partial.status or 0,
            tuple(partial.headers),
            b''.join(partial.parts),
            reusable,
        )
        if not reusable:
            self.spoiled = True
        if waiter is None or waiter.done():
            self.spoiled = True
            return
        if self.is_foreign(answer):
            # A late answer to an earlier request; the own one may follow.
            self.spoiled = True
            return
        waiter.set_result(answer)

    def is_foreign(self, answer: RawAnswer) -> bool:
        """Returns whether an answer belongs to another request."""
        if self.echo is None:
            return False
        name, expected = self.echo
        return answer.header(name) not in {None, expected}


async def connect(
    address: str,
    timeout: float,
    user_timeout_ms: int,
    max_answer_bytes: int,
    local_ip: str | None = None,
) -> HttpConnection:
    """Opens a connection.

    Args:
        address: IP address and port.
        timeout: Seconds until it is given up.
        user_timeout_ms: Time after which data without an acknowledgement
            ends the connection, also while it only waits for an answer.
        max_answer_bytes: Largest body of an answer.
        local_ip: Address to connect from.

    Raises:
        OSError: If it is refused.
        TimeoutError: If there is no answer in time.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(':')
    local = None if local_ip is None else (local_ip, 0)
    async with asyncio.timeout(timeout):
        transport, connection = await loop.create_connection(
            lambda: HttpConnection(max_answer_bytes),
            host,
            int(port),
            local_addr=local,
        )
    sock = transport.get_extra_info('socket')
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return connection
