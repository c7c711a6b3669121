"""Tests of answers that do not end until the caller closes."""

import asyncio
import gc
from collections.abc import Iterator
from itertools import chain, cycle

import pytest

from teaselcove.answer_memory import AnswerMemory
from teaselcove.http_connection import (
    FRAMING_SHARE,
    MAX_FRAMING_BYTES,
    ConnectionBrokenError,
    HttpConnection,
    RawAnswer,
)

MAX_ANSWER = 16 * 1024 * 1024
# Bytes that are fed at a time, as one read of a socket gives them.
READ_BYTES = 64 * 1024
# Far more than any of the bounds; the feeding ends there if nothing else does.
FED_BYTES = 2 * MAX_ANSWER
STATUS = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'%stransfer-encoding: chunked\r\n\r\n' % STATUS
ID = ('attempt-id', 'a1')


class ClosedTransport:
    """Takes a request and notes whether the connection was closed."""

    def __init__(self) -> None:
        self.closed = False

    def write(self, payload: bytes) -> None:
        """Takes a request."""

    def abort(self) -> None:
        """Closes the connection."""
        self.closed = True


class Exchange:
    """A request whose answer the test feeds."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.connection = HttpConnection(MAX_ANSWER, memory)
        self.transport = ClosedTransport()
        self.connection.connection_made(self.transport)
        self.answer = asyncio.get_running_loop().create_task(
            self.connection.exchange(b'GET / HTTP/1.1\r\n\r\n', ID)
        )

    async def feed(self, parts: Iterator[bytes]) -> int:
        """Feeds parts until the connection is closed; returns the bytes."""
        await asyncio.sleep(0)
        fed = 0
        while not self.transport.closed and fed < FED_BYTES:
            part = b''.join(next(parts) for _ in range(64))
            for start in range(0, len(part), READ_BYTES):
                self.connection.data_received(part[start : start + READ_BYTES])
            fed += len(part)
        return fed


def repeat(first: bytes, then: bytes) -> Iterator[bytes]:
    """Returns a first part and then another one for ever."""
    return chain((first,), cycle((then,)))


FORMS = {
    'head without a line end': (b'%sx: ' % STATUS, b'y' * 1024),
    'headers': (STATUS, b'name: %s\r\n' % (b'y' * 1000)),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 32),
    'chunk extension': (b'%s1;' % CHUNKED, b'y' * 1024),
    'trailers': (b'%s0\r\n' % CHUNKED, b'name: %s\r\n' % (b'y' * 1000)),
    'tiny chunks': (CHUNKED, b'2\r\nxx\r\n' * 128),
    'answers of other requests': (
        b'',
        b'%sattempt-id: a0\r\ncontent-length: 0\r\n\r\n' % STATUS * 16,
    ),
}


async def feed_form(name: str) -> int:
    """Feeds a form without end; returns the bytes until the close."""
    exchange = Exchange(AnswerMemory())
    fed = await exchange.feed(repeat(*FORMS[name]))
    with pytest.raises(ConnectionBrokenError):
        await exchange.answer
    return fed


async def feed_bodies(count: int, memory: AnswerMemory) -> list[Exchange]:
    """Feeds bodies without end to several connections at once."""
    exchanges = [Exchange(memory) for _ in range(count)]
    part = b'400\r\n%s\r\n' % (b'y' * 1024)
    await asyncio.sleep(0)
    for exchange in exchanges:
        exchange.connection.data_received(CHUNKED)
    for _ in range(FED_BYTES // len(part) // 4):
        for exchange in exchanges:
            if not exchange.transport.closed:
                exchange.connection.data_received(part)
        assert memory.held <= memory.limit
    return exchanges


async def serve_beside_bodies(memory: AnswerMemory) -> RawAnswer:
    """Reads a sound answer while other bodies do not end."""
    others = await feed_bodies(4, memory)
    sound = Exchange(memory)
    body = b'y' * 30000
    head = b'%sattempt-id: a1\r\ncontent-length: 30000\r\n\r\n' % STATUS
    await asyncio.sleep(0)
    sound.connection.data_received(head + body)
    for exchange in others:
        exchange.answer.cancel()
    return await sound.answer


class TestForms:
    """Bytes without end in each part of an answer."""

    @pytest.mark.parametrize('name', FORMS)
    def test_closed(self, name: str) -> None:
        """Guards against a host that keeps all of them."""
        fed = asyncio.run(feed_form(name))
        # The share of a body that is at most as large as the framing.
        bound = MAX_FRAMING_BYTES * (1 + FRAMING_SHARE) * 2
        assert fed <= bound + 2 * READ_BYTES


class TestBudget:
    """Several answers without end at once."""

    @pytest.mark.parametrize('count', [1, 8])
    def test_sum(self, count: int) -> None:
        """Guards against limits that hold for each answer alone."""
        memory = AnswerMemory(4 * 1024 * 1024)
        asyncio.run(feed_bodies(count, memory))
        assert memory.given_way

    def test_sound_answer(self) -> None:
        """Guards against sound answers that give way to endless ones."""
        memory = AnswerMemory(4 * 1024 * 1024)
        answer = asyncio.run(serve_beside_bodies(memory))
        assert len(answer.body) == 30000
        held = memory.held
        del answer
        gc.collect()
        assert (held, memory.held) == (30000, 0)
