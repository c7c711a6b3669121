"""Tests of answers that backend servers spoil, over real sockets."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from teaselcove.entities import Server
from teaselcove.events import AttemptResult
from teaselcove.http_fields import CallerRequest
from teaselcove.ingress.backend import (
    STALE_IDLE_S,
    AttemptEnd,
    BackendPool,
    OutgoingRequest,
    request_bytes,
    run_attempt,
)

IP = '127.0.0.1'
MAX_ANSWER = 100_000
SIGNED = (b'Attempt-Id: a1', b'Response-Signature: s')


def raw(status: bytes, *headers: bytes, body: bytes = b'') -> bytes:
    """Returns an answer as bytes."""
    lines = (b'HTTP/1.1 %s X' % status, *headers, b'', body)
    return b'\r\n'.join(lines)


WHOLE = raw(b'200', *SIGNED, b'Content-Length: 2', body=b'ok')
UNFRAMED = raw(b'200', *SIGNED, body=b'ok')
LATE = WHOLE.replace(b'a1', b'a0')
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def outgoing(
    attempt_id: str = 'a1', body: bytes = b'', method: str = 'GET'
) -> OutgoingRequest:
    """Returns a request."""
    headers = (('host', 'jobs.example'), ('attempt-id', attempt_id))
    request = CallerRequest(method, '/read/1?x=', headers, body)
    return OutgoingRequest(request, attempt_id, 'village', idempotent=True)


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Reads the head of a request."""
    return await reader.readuntil(b'\r\n\r\n')


class Answering:
    """A server that answers each request with the next bytes."""

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


class ResetAfter:
    """A server that resets the connection after some bytes."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        await read_head(reader)
        writer.write(self.answer)
        await writer.drain()
        await asyncio.sleep(0.02)
        sock = writer.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


class Hanging:
    """A server that never answers and notices the end of a connection."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.closed = False

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        await read_head(reader)
        self.asked.set()
        with suppress(ConnectionResetError):
            await reader.read()
        self.closed = True
        writer.close()


async def cancel_attempt(server: Hanging) -> None:
    """Cancels an attempt that runs, as for a caller that leaves."""
    listener = await asyncio.start_server(server, IP, 0)
    port = listener.sockets[0].getsockname()[1]
    pool = BackendPool(IP, MAX_ANSWER)
    work = run_attempt(pool, Server('i-1', f'{IP}:{port}', 'a'), outgoing(), 5)
    task = asyncio.get_running_loop().create_task(work)
    await server.asked.wait()
    task.cancel()
    await asyncio.sleep(0.1)
    listener.close()


async def play_in_loop(
    script: Script,
    requests: tuple[OutgoingRequest, ...],
    time_left: float,
    pause: float,
) -> list[AttemptEnd]:
    """Sends requests to a scripted server, one after the other."""
    listener = await asyncio.start_server(script, IP, 0)
    port = listener.sockets[0].getsockname()[1]
    server = Server('i-1', f'{IP}:{port}', 'a')
    pool = BackendPool(IP, MAX_ANSWER)
    ends = []
    for request in requests:
        ends.append(await run_attempt(pool, server, request, time_left))
        await asyncio.sleep(pause)
    pool.close()
    listener.close()
    return ends


def play(
    script: Script,
    *requests: OutgoingRequest,
    time_left: float = 1,
    pause: float = 0.02,
) -> list[AttemptEnd]:
    """Runs an event loop that sends requests to a scripted server."""
    return asyncio.run(play_in_loop(script, requests, time_left, pause))


def play_one(script: Script, time_left: float = 1) -> AttemptEnd:
    """Sends one request to a scripted server."""
    return play(script, outgoing(), time_left=time_left)[0]


class TestAnswers:
    """Whole answers in every framing."""

    @pytest.mark.parametrize(
        'answer',
        [
            WHOLE,
            raw(b'100') + WHOLE,
            raw(
                b'200',
                *SIGNED,
                b'Transfer-Encoding: chunked',
                body=b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n',
            ),
        ],
    )
    def test_framed(self, answer: bytes) -> None:
        """Guards against answers that are read wrongly."""
        end = play_one(Answering(answer))
        assert end.result is AttemptResult.COMPLETE
        assert (end.answer.body, end.answer.status) == (b'ok', 200)

    def test_ends_with_connection(self) -> None:
        """Guards against refusing an answer without a length."""
        end = play_one(Answering(UNFRAMED, close=True))
        assert (end.result, end.answer.body) == (AttemptResult.COMPLETE, b'ok')

    def test_without_length_and_reset(self) -> None:
        """Guards against a cut answer that looks whole."""
        end = play_one(ResetAfter(UNFRAMED))
        assert end.result is AttemptResult.BROKEN

    @pytest.mark.parametrize(
        'answer',
        [
            b'',
            raw(b'200', *SIGNED)[:-2],
            WHOLE[:-1],
            raw(
                b'200',
                *SIGNED,
                b'Transfer-Encoding: chunked',
                body=b'2\r\nok\r\n',
            ),
            b'not http at all\r\n\r\n',
        ],
    )
    def test_cut_short(self, answer: bytes) -> None:
        """Guards against half an answer that is passed on."""
        end = play_one(Answering(answer, close=True))
        assert end.result is AttemptResult.BROKEN

    def test_too_large(self) -> None:
        """Guards against answers larger than the memory."""
        size = MAX_ANSWER + 1
        length = b'Content-Length: %d' % size
        answer = raw(b'200', *SIGNED, length, body=bytes(size))
        end = play_one(Answering(answer))
        assert end.result is AttemptResult.BROKEN

    def test_silence(self) -> None:
        """Guards against waiting for ever."""
        end = play_one(Answering(b''), time_left=0.1)
        assert end.result is AttemptResult.TIMED_OUT


class TestCrossedAnswers:
    """Answers that belong to another request."""

    def test_extra_answer(self) -> None:
        """Guards against a second answer given to the next request."""
        script = Answering(WHOLE + LATE)
        first, second = play(script, outgoing('a1'), outgoing('a2'))
        assert first.result is AttemptResult.COMPLETE
        assert second.result is not AttemptResult.COMPLETE

    def test_late_answer_comes_first(self) -> None:
        """Guards against the answer to an earlier request."""
        own = WHOLE.replace(b'ok', b'me')
        end = play_one(Answering(LATE + own))
        assert end.answer.body == b'me'

    def test_only_a_late_answer(self) -> None:
        """Guards against taking a foreign answer for lack of the own one."""
        end = play_one(Answering(LATE, close=True))
        assert end.result is AttemptResult.BROKEN

    def test_unsolicited_bytes(self) -> None:
        """Guards against bytes that arrive between two requests."""
        script = Answering(WHOLE + WHOLE[:20])
        first, second = play(script, outgoing('a1'), outgoing('a1'))
        assert first.answer.body == b'ok'
        assert second.result is not AttemptResult.BROKEN

    def test_answer_without_id(self) -> None:
        """Guards against an answer that cannot be told from a late one."""
        answer = WHOLE.replace(b'Attempt-Id: a1\r\n', b'')
        end = play_one(Answering(answer))
        assert end.result is AttemptResult.MISMATCHED


class TestStatements:
    """What servers say of a request that has not run."""

    @pytest.mark.parametrize(
        ('answer', 'result'),
        [
            (
                raw(b'503', b'Not-Executed: 1', b'Content-Length: 0'),
                AttemptResult.SHED,
            ),
            (
                raw(b'421', b'Not-Executed: 1', b'Content-Length: 0'),
                AttemptResult.MISDIRECTED,
            ),
            (
                raw(b'503', *SIGNED, b'Content-Length: 0'),
                AttemptResult.COMPLETE,
            ),
        ],
    )
    def test_statement(self, answer: bytes, result: AttemptResult) -> None:
        """Guards against a 503 that is taken for "not run"."""
        end = play_one(Answering(answer))
        assert end.result is result

    def test_refused_connection(self) -> None:
        """Guards against an unknown outcome where nothing was sent."""
        with socket.socket() as probe:
            probe.bind((IP, 0))
            address = f'{IP}:{probe.getsockname()[1]}'
        pool = BackendPool(IP, MAX_ANSWER)
        server = Server('i-1', address, 'a')
        end = asyncio.run(run_attempt(pool, server, outgoing(), 1))
        assert end.result is AttemptResult.NOT_SENT


class TestRequests:
    """What a server gets."""

    def test_head(self) -> None:
        """Guards against a changed target or a missing header."""
        sent = request_bytes(outgoing(body=b'abc', method='POST'), 'i-1', 0.25)
        head, _, body = sent.partition(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        assert lines[0] == 'POST /read/1?x= HTTP/1.1'
        assert 'deadline-ms: 250' in lines
        assert 'expect-instance: i-1' in lines
        assert 'tenant: village' in lines
        assert 'content-length: 3' in lines
        assert body == b'abc'

    def test_connection_is_kept(self) -> None:
        """Guards against a new connection for each request."""
        second = WHOLE.replace(b'a1', b'a2')
        script = Answering(WHOLE, second)
        ends = play(script, outgoing('a1'), outgoing('a2'))
        assert {end.result for end in ends} == {AttemptResult.COMPLETE}

    def test_kept_connection_that_breaks(self) -> None:
        """Guards against blame for a server that closes idle connections."""
        script = Answering(WHOLE, b'', close=True)
        requests = (outgoing('a1'), outgoing('a2'))
        first, second = play(script, *requests, pause=STALE_IDLE_S * 2)
        assert first.result is AttemptResult.COMPLETE
        assert (second.result, second.stale) == (AttemptResult.BROKEN, True)

    def test_server_that_resets_each_request(self) -> None:
        """Guards against a failing server that is taken for a stale one."""
        script = Answering(WHOLE, b'', close=True)
        ids = ('a1', 'a2', 'a1', 'a2')
        ends = play(script, *map(outgoing, ids), pause=STALE_IDLE_S * 2)
        assert [end.stale for end in ends] == [False, True, False, False]

    def test_cancelled_attempt(self) -> None:
        """Guards against work for a caller that has left."""
        hang = Hanging()
        asyncio.run(cancel_attempt(hang))
        assert hang.closed
