"""HTTP/1.1 client connection.

Uses a parser library instead of the HTTP client used elsewhere. That client
hides two things that matter on the platform: whether a response without a
length ended with a reset, and responses that belong to an earlier request. It
also takes a fifth of the memory of a small process.
"""

import asyncio
import socket
from typing import Any

import httptools
import msgspec

from teaselcove.answer_memory import AnswerMemory
from teaselcove.http_fields import BODYLESS_STATUS, Headers

FIRST_FINAL_STATUS = 200
MAX_HEADER_BYTES = 64 * 1024
# Bytes of a response besides its body: headers, interim responses, chunk sizes
# and extensions, trailers. They may grow by a share of the body.
MAX_FRAMING_BYTES = 256 * 1024
FRAMING_SHARE = 0.25
# Detects dead peers while waiting for a response: after one second without
# data, a probe is sent each second; the third one ends the connection.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2


class ConnectionBrokenError(Exception):
    """The connection closed, or the response is invalid or too large.

    Attributes:
        status: Status of the incomplete response, or None.
        answer_started: Whether any byte of a response had arrived.
    """

    def __init__(
        self, problem: str, status: int | None, answer_started: bool
    ) -> None:
        self.status = status
        self.answer_started = answer_started
        super().__init__(problem)


class RawAnswer(msgspec.Struct, weakref=True):
    """A complete response.

    Attributes:
        headers: Headers with lower-case names.
        reusable: Whether the connection may be reused.
    """

    status: int
    headers: Headers
    body: bytes
    reusable: bool

    def header(self, name: str) -> str | None:
        """Returns the first header with a name, or None."""
        for found, text in self.headers:
            if found == name:
                return text
        return None


class PartialAnswer:
    """A response that is still being read."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: list[tuple[str, str]] = []
        self.header_bytes = 0
        self.body = bytearray()
        self.ends_with_connection = False


class HttpConnection(asyncio.Protocol):
    """Sends one request at a time and reads its response.

    Attributes:
        must_close: Whether the connection cannot be reused.
        idle_since: When it was last used, on the event loop's clock.
        idle_limit: Idle timeout in seconds announced by the server, or None.
        request_count: Number of requests sent.
        received: Bytes received since the last request.
        body_bytes: Those of them that belong to bodies.
    """

    def __init__(self, max_answer_bytes: int, memory: AnswerMemory) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.memory = memory
        self.received = 0
        self.body_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.partial: PartialAnswer | None = None
        self.waiter: asyncio.Future[RawAnswer] | None = None
        self.echo: tuple[str, str] | None = None
        self.bodyless = False
        self.closed = False
        self.must_close = False
        self.answer_started = False
        self.idle_since = float(0)
        self.idle_limit: float | None = None
        self.request_count = 0

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self.transport = transport

    async def exchange(
        self,
        payload: bytes,
        echo: tuple[str, str] | None = None,
        bodyless: bool = False,
    ) -> RawAnswer:
        """Sends a request and returns its response.

        Args:
            payload: The request as bytes.
            echo: Name and value of a header that the response repeats; a
                different value marks the response to another request.
            bodyless: Whether the response has no body, whatever its headers
                say.

        Raises:
            ConnectionBrokenError: If no complete response arrived.
        """
        self.echo = echo
        self.bodyless = bodyless
        self.answer_started = False
        self.received = 0
        self.body_bytes = 0
        self.request_count += 1
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
            self.memory.drop(self)

    @property
    def is_usable(self) -> bool:
        """Whether another request can be sent."""
        return not (self.closed or self.must_close)

    def close(self) -> None:
        """Aborts the connection, so that the server stops its work."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self.waiter is None:
            # Unsolicited bytes.
            self.close()
            return
        self.answer_started = True
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.must_close = True
            self.fail(f'invalid response: {error}')
        except httptools.HttpParserUpgrade:
            self.must_close = True
            self.fail('the server switched protocols')
        framing = self.received - self.body_bytes
        if framing > MAX_FRAMING_BYTES + FRAMING_SHARE * self.body_bytes:
            self.give_up('the response has too many bytes besides its body')

    def eof_received(self) -> bool:
        """Completes a response that is delimited by the connection's end."""
        partial = self.partial
        if partial is not None and partial.ends_with_connection:
            self.finish(partial, reusable=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request."""
        self.closed = True
        self.fail('the connection was closed' if exc is None else repr(exc))

    def fail(self, problem: str) -> None:
        """Ends the exchange with an error."""
        waiter = self.waiter
        if waiter is not None and not waiter.done():
            status = self.partial.status if self.partial else None
            waiter.set_exception(
                ConnectionBrokenError(problem, status, self.answer_started)
            )

    def give_up(self, problem: str) -> None:
        """Ends the exchange and the connection, and drops what was read."""
        self.must_close = True
        self.fail(problem)
        self.partial = None
        self.memory.drop(self)
        self.close()

    def give_way(self) -> None:
        """Drops a response because too many bytes of responses are held."""
        self.give_up('no memory is left for the response')

    def on_message_begin(self) -> None:
        """Starts a response; an unexpected one prevents reuse."""
        waiter = self.waiter
        if waiter is None or waiter.done():
            self.must_close = True
        self.partial = PartialAnswer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        partial = self.partial
        if partial is None:
            return
        partial.header_bytes += len(name) + len(value)
        if partial.header_bytes > MAX_HEADER_BYTES:
            self.give_up('the response headers are too large')
            return
        partial.headers.append(
            (
                name.decode('latin-1').lower(),
                value.decode('latin-1').rstrip(' \t'),
            )
        )

    def on_headers_complete(self) -> None:
        """Determines where the response ends."""
        partial = self.partial
        if partial is None:
            return
        partial.status = self.parser.get_status_code()
        if partial.status < FIRST_FINAL_STATUS:
            return
        headers = dict(partial.headers)
        bodyless = self.bodyless or partial.status in BODYLESS_STATUS
        framed = 'content-length' in headers or 'transfer-encoding' in headers
        partial.ends_with_connection = not (bodyless or framed)
        if self.bodyless:
            # The parser would wait for the announced body.
            self.finish(partial, reusable=False)

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body."""
        partial = self.partial
        if partial is None:
            return
        self.body_bytes += len(body)
        if self.body_bytes > self.max_answer_bytes:
            self.give_up('the response body is too large')
            return
        self.memory.add(self, len(body))
        partial.body += body

    def on_message_complete(self) -> None:
        """Completes a response with a length or chunked body."""
        partial = self.partial
        self.partial = None
        if partial is None or (partial.status or 0) < FIRST_FINAL_STATUS:
            return
        self.finish(partial, self.parser.should_keep_alive())

    def finish(self, partial: PartialAnswer, reusable: bool) -> None:
        """Delivers a response unless it belongs to another request."""
        waiter = self.waiter
        answer = RawAnswer(
            partial.status or 0,
            tuple(partial.headers),
            bytes(partial.body),
            reusable,
        )
        if not reusable:
            self.must_close = True
        if waiter is None or waiter.done():
            self.must_close = True
            return
        if self.answers_other_request(answer):
            # A late response to an earlier request; ours may follow.
            self.must_close = True
            return
        self.memory.finish(self, answer)
        waiter.set_result(answer)

    def answers_other_request(self, answer: RawAnswer) -> bool:
        """Returns whether a response belongs to another request."""
        if self.echo is None:
            return False
        name, expected = self.echo
        return answer.header(name) not in {None, expected}


async def connect(
    address: str,
    timeout: float,
    user_timeout_ms: int,
    max_answer_bytes: int,
    memory: AnswerMemory,
    local_ip: str | None = None,
) -> HttpConnection:
    """Opens a connection.

    Args:
        address: IP address and port.
        timeout: Seconds to wait for the connection.
        user_timeout_ms: Milliseconds after which unacknowledged data closes
            the connection, also while it only waits for a response.
        max_answer_bytes: Size limit of a response body.
        memory: Counts the bytes of all responses.
        local_ip: Address to connect from.

    Raises:
        OSError: If the connection is refused.
        TimeoutError: If it is not established in time.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(':')
    local = None if local_ip is None else (local_ip, 0)
    async with asyncio.timeout(timeout):
        transport, connection = await loop.create_connection(
            lambda: HttpConnection(max_answer_bytes, memory),
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
