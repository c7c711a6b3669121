"""Scripted backend servers for tests over real sockets."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from teaselcove.answer_memory import AnswerMemory
from teaselcove.entities import Server
from teaselcove.http_fields import CallerRequest
from teaselcove.ingress.backend import (
    AttemptEnd,
    BackendPool,
    OutgoingRequest,
    run_attempt,
)

IP = '127.0.0.1'
# Seconds in which sent bytes arrive before the connection is reset.
RESET_DELAY_S = 0.01
MAX_ANSWER = 100_000
SIGNED = (b'Attempt-Id: a1', b'Response-Signature: s')


def encode_answer(status: bytes, *headers: bytes, body: bytes = b'') -> bytes:
    """Returns the bytes of a response."""
    lines = (b'HTTP/1.1 %s X' % status, *headers, b'', body)
    return b'\r\n'.join(lines)


COMPLETE_ANSWER = encode_answer(
    b'200', *SIGNED, b'Content-Length: 2', body=b'ok'
)
UNFRAMED_ANSWER = encode_answer(b'200', *SIGNED, body=b'ok')
LATE_ANSWER = COMPLETE_ANSWER.replace(b'a1', b'a0')
REFUSAL = encode_answer(
    b'503', b'Attempt-Id: a1', b'Not-Executed: 1', b'Content-Length: 0'
)
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def outgoing(
    attempt_id: str = 'a1',
    body: bytes = b'',
    method: str = 'GET',
    **fields: Any,
) -> OutgoingRequest:
    """Returns a request to a backend server."""
    headers = (('host', 'jobs.example'), ('attempt-id', attempt_id))
    request = CallerRequest(method, '/read/1?x=', headers, body)
    return OutgoingRequest(request, attempt_id, 'village', True, **fields)


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Reads the request line and headers of a request."""
    return await reader.readuntil(b'\r\n\r\n')


class AnsweringServer:
    """A server that answers each request with the next response."""

    def __init__(self, *answers: bytes, close: bool = False) -> None:
        self.answers = answers
        self.close = close

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        for answer in self.answers:
            await read_head(reader)
            writer.write(answer)
            await writer.drain()
        if not self.close:
            await reader.read()
        writer.close()


class FirstConnection:
    """A server with a script for its first connection.

    It answers the requests on any other connection as complete.
    """

    def __init__(self, *answers: bytes) -> None:
        self.scripted: AnsweringServer | None = AnsweringServer(*answers)

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        script = self.scripted or AnsweringServer(COMPLETE_ANSWER)
        self.scripted = None
        await script(reader, writer)


class ResettingServer:
    """A server that sends some bytes and then resets the connection."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        await read_head(reader)
        writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(RESET_DELAY_S)
        sock = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


class HangingServer:
    """A server that never answers and records that it was disconnected."""

    def __init__(self) -> None:
        self.request_received = asyncio.Event()
        self.closed = False

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        await read_head(reader)
        self.request_received.set()
        with suppress(ConnectionResetError):
            await reader.read()
        self.closed = True
        writer.close()


async def run_cancelled_attempt(server: HangingServer) -> None:
    """Cancels a running attempt, as when the caller disconnects."""
    listener = await asyncio.start_server(server, IP, 0)
    port = listener.sockets[0].getsockname()[1]
    pool = BackendPool(IP, MAX_ANSWER, AnswerMemory())
    work = run_attempt(pool, Server('i-1', f'{IP}:{port}', 'a'), outgoing(), 5)
    task = asyncio.get_running_loop().create_task(work)
    await server.request_received.wait()
    task.cancel()
    await asyncio.sleep(0.1)
    listener.close()


async def send_requests(
    script: Script,
    requests: tuple[OutgoingRequest, ...],
    time_left: float,
    pause: float,
) -> list[AttemptEnd]:
    """Sends requests to a scripted server, one after another."""
    listener = await asyncio.start_server(script, IP, 0)
    port = listener.sockets[0].getsockname()[1]
    server = Server('i-1', f'{IP}:{port}', 'a')
    pool = BackendPool(IP, MAX_ANSWER, AnswerMemory())
    ends = []
    for request in requests:
        ends.append(await run_attempt(pool, server, request, time_left))
        await asyncio.sleep(pause)
    pool.close()
    listener.close()
    return ends


def run_requests(
    script: Script,
    *requests: OutgoingRequest,
    time_left: float = 1,
    pause: float = 0.02,
) -> list[AttemptEnd]:
    """Sends requests to a scripted server in a new event loop."""
    return asyncio.run(send_requests(script, requests, time_left, pause))


def run_request(script: Script, time_left: float = 1) -> AttemptEnd:
    """Sends one request to a scripted server."""
    return run_requests(script, outgoing(), time_left=time_left)[0]
