"""Tests of the limits of callers' connections, over real sockets."""

import asyncio
from typing import Any

import pytest
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from standins.processes import free_port
from teaselcove.ingress.listener import ConnectionLimits, Listener

IP = '127.0.0.1'
# Seconds after which a hanging test fails.
WAIT_S = 10
LIMITS = ConnectionLimits(header_timeout=0.2, max_header_bytes=500)


async def hello(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers every request."""
    await Response(b'hello')(scope, receive, send)


async def exchange(parts: list[bytes], pause: float) -> bytes:
    """Sends parts of a request; returns the whole response.

    Args:
        parts: Bytes to send.
        pause: Seconds after each part.
    """
    address = f'{IP}:{free_port(IP)}'
    listener = Listener(hello, address, lambda: LIMITS)
    await listener.start()
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
        await asyncio.sleep(pause)
    async with asyncio.timeout(WAIT_S):
        answer = await reader.read()
    writer.close()
    listener.stop()
    return answer


def head(*lines: str) -> bytes:
    """Returns the head of a request without the final empty line."""
    return '\r\n'.join(('GET /a HTTP/1.1', 'host: x', *lines, '')).encode()


def long_header(size: int) -> str:
    """Returns a header line of a given size."""
    return 'a: '.ljust(size, 'x')


def status_of(answer: bytes) -> int:
    """Returns the status of a response."""
    return int(answer.split(b' ', 2)[1])


class TestHeaders:
    """Limits for the size and duration of headers."""

    @pytest.mark.parametrize(
        ('parts', 'status'),
        [
            ([head('connection: close'), b'\r\n'], 200),
            ([head(long_header(600)), b'\r\n'], 431),
            (
                [
                    head(),
                    *(f'{long_header(200)}\r\n'.encode() for _ in range(4)),
                ],
                431,
            ),
            ([head()], 408),
            ([b'\x00 nonsense\r\n\r\n'], 400),
        ],
        ids=['small', 'large', 'growing', 'late', 'unreadable'],
    )
    def test_status(self, parts: list[bytes], status: int) -> None:
        """Guards against callers that exhaust memory or connections."""
        answer: Any = asyncio.run(exchange(parts, 0.01))
        assert status_of(answer) == status
