"""Tests of the connections of callers while a host stops."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from standins.processes import free_port
from teaselcove.http_connection import RawAnswer
from teaselcove.ingress.acceptance import Arrival
from teaselcove.ingress.listener import Listener
from teaselcove.ingress.readout import RequestMetrics
from teaselcove.ingress.server import BodyMemory, CallerEndpoint

IP = '127.0.0.1'
# Seconds after which a hanging test fails.
WAIT_S = 20
# Far more than the buffers of both sockets hold.
LARGE_BYTES = 32 * 1024 * 1024
BODY_BYTES = 1000
REQUEST = b'GET /%d HTTP/1.1\r\nhost: x\r\nattempt-id: a%d\r\n\r\n'
POLL_S = 0.01


async def large(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers with a large body."""
    await Response(bytes(LARGE_BYTES))(scope, receive, send)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    while not condition():
        await asyncio.sleep(POLL_S)


async def with_listener(
    app: Any,
    work: Callable[
        [Listener, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> None:
    """Runs work on a connection to a listener."""
    port = free_port(IP)
    listener = Listener(app, f'{IP}:{port}')
    await listener.start()
    reader, writer = await asyncio.open_connection(IP, port)
    try:
        async with asyncio.timeout(WAIT_S):
            await work(listener, reader, writer)
    finally:
        writer.close()
        listener.stop()


async def read_slowly(
    listener: Listener,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Reads a large answer only after its task has ended."""
    writer.write(REQUEST % (1, 1))
    await wait_until(lambda: listener.state.total_requests == 1)
    await wait_until(lambda: not listener.state.tasks)
    assert listener.is_busy
    head = await reader.readuntil(b'\r\n\r\n')
    assert b'200 OK' in head
    await reader.readexactly(LARGE_BYTES)
    await wait_until(lambda: not listener.is_busy)


class StoppingDaemon:
    """A host that stops and answers each request with its target."""

    def __init__(self) -> None:
        self.draining = True
        self.body_memory = BodyMemory(BODY_BYTES)
        self.request_metrics = RequestMetrics()
        self.requests = SimpleNamespace(serve=self.serve)

    def max_body_bytes(self) -> int:
        """Returns the size limit of a request body."""
        return BODY_BYTES

    async def serve(self, arrival: Arrival) -> RawAnswer:
        """Answers after the next request was read."""
        await asyncio.sleep(POLL_S)
        return RawAnswer(200, (), arrival.request.target.encode(), True)


async def send_three(
    listener: Listener,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Sends three requests at once; all are answered, then it closes."""
    writer.write(b''.join(REQUEST % (index, index) for index in range(3)))
    answer = await reader.read()
    while not reader.at_eof():
        answer += await reader.read()
    assert answer.count(b'200 OK') == 3
    assert answer.count(b'connection: close') == 1


class TestStop:
    """A stop waits for what a host has read and answered."""

    def test_answer_in_write_buffer(self) -> None:
        """Guards against an answer that is cut off as the process exits."""
        asyncio.run(with_listener(large, read_slowly))

    def test_requests_behind_one_another(self) -> None:
        """Guards against a close before requests that were already read."""
        endpoint = CallerEndpoint(StoppingDaemon())
        asyncio.run(with_listener(endpoint, send_three))
