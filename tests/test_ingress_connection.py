"""Tests of invalid, late and incomplete responses, over real sockets."""

import asyncio
import socket
import struct
from collections import defaultdict
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import pytest

from teaselcove.entities import Server
from teaselcove.events import AttemptResult
from teaselcove.http_connection import HttpConnection
from teaselcove.http_fields import CallerRequest
from teaselcove.ingress.backend import (
    MIN_STALE_IDLE_S,
    AttemptEnd,
    BackendPool,
    OutgoingRequest,
    encode_request,
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
    pool = BackendPool(IP, MAX_ANSWER)
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
    pool = BackendPool(IP, MAX_ANSWER)
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


class TestAnswers:
    """Complete and incomplete responses in every framing."""

    @pytest.mark.parametrize(
        'answer',
        [
            COMPLETE_ANSWER,
            encode_answer(b'100') + COMPLETE_ANSWER,
            encode_answer(
                b'200',
                *SIGNED,
                b'Transfer-Encoding: chunked',
                body=b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n',
            ),
        ],
    )
    def test_framed(self, answer: bytes) -> None:
        """Guards against misreading a response with a length or chunks."""
        end = run_request(AnsweringServer(answer))
        assert end.result is AttemptResult.COMPLETE
        assert (end.answer.body, end.answer.status) == (b'ok', 200)

    def test_ends_with_connection(self) -> None:
        """Guards against rejecting a response without a length."""
        end = run_request(AnsweringServer(UNFRAMED_ANSWER, close=True))
        assert (end.result, end.answer.body) == (AttemptResult.COMPLETE, b'ok')

    def test_without_length_and_reset(self) -> None:
        """Guards against taking a truncated response for a complete one."""
        end = run_request(ResettingServer(UNFRAMED_ANSWER))
        assert end.result is AttemptResult.BROKEN

    @pytest.mark.parametrize(
        'answer',
        [
            b'',
            encode_answer(b'200', *SIGNED)[:-2],
            COMPLETE_ANSWER[:-1],
            encode_answer(
                b'200',
                *SIGNED,
                b'Transfer-Encoding: chunked',
                body=b'2\r\nok\r\n',
            ),
            b'not http at all\r\n\r\n',
        ],
    )
    def test_cut_short(self, answer: bytes) -> None:
        """Guards against forwarding a truncated response."""
        end = run_request(AnsweringServer(answer, close=True))
        assert end.result is AttemptResult.BROKEN

    @pytest.mark.parametrize('reset', [False, True])
    @pytest.mark.parametrize(
        'head',
        [
            encode_answer(b'200', *SIGNED),
            encode_answer(b'200', *SIGNED, b'Content-Length: 20'),
            encode_answer(b'200', *SIGNED, b'Transfer-Encoding: chunked'),
            encode_answer(b'100') + encode_answer(b'200', *SIGNED),
        ],
    )
    def test_head_breaks_off(self, head: bytes, reset: bool) -> None:
        """Guards against an empty or short body that looks complete."""
        for cut, _ in enumerate(head):
            part = head[:cut]
            script = AnsweringServer(part, close=True)
            end = run_request(ResettingServer(part) if reset else script)
            assert (cut, end.result) == (cut, AttemptResult.BROKEN)
            assert end.answer is None

    def test_too_large(self) -> None:
        """Guards against responses that exhaust memory."""
        size = MAX_ANSWER + 1
        length = b'Content-Length: %d' % size
        answer = encode_answer(b'200', *SIGNED, length, body=bytes(size))
        end = run_request(AnsweringServer(answer))
        assert end.result is AttemptResult.BROKEN

    def test_silence(self) -> None:
        """Guards against waiting indefinitely for a response."""
        end = run_request(AnsweringServer(b''), time_left=0.1)
        assert end.result is AttemptResult.TIMED_OUT


class TestMismatchedAnswers:
    """Responses that belong to another request."""

    def test_extra_answer(self) -> None:
        """Guards against using an extra response for the next request."""
        script = AnsweringServer(COMPLETE_ANSWER + LATE_ANSWER)
        first, second = run_requests(script, outgoing('a1'), outgoing('a2'))
        assert first.result is AttemptResult.COMPLETE
        assert second.result is not AttemptResult.COMPLETE

    def test_late_answer_comes_first(self) -> None:
        """Guards against using the response to an earlier request."""
        own = COMPLETE_ANSWER.replace(b'ok', b'me')
        end = run_request(AnsweringServer(LATE_ANSWER + own))
        assert end.answer.body == b'me'

    def test_late_answer_alone(self) -> None:
        """Guards against using a late response if no other one arrives."""
        end = run_request(AnsweringServer(LATE_ANSWER, close=True))
        assert end.result is AttemptResult.BROKEN

    def test_unsolicited_bytes(self) -> None:
        """Guards against using bytes that arrive between two requests."""
        script = AnsweringServer(COMPLETE_ANSWER + COMPLETE_ANSWER[:20])
        first, second = run_requests(script, outgoing('a1'), outgoing('a1'))
        assert first.answer.body == b'ok'
        assert second.result is not AttemptResult.BROKEN

    def test_answer_without_id(self) -> None:
        """Guards against a response that may belong to another request."""
        answer = COMPLETE_ANSWER.replace(b'Attempt-Id: a1\r\n', b'')
        end = run_request(AnsweringServer(answer))
        assert end.result is AttemptResult.MISMATCHED


class TestExecutionStatements:
    """Statements of servers about whether a request has run."""

    @pytest.mark.parametrize(
        ('answer', 'result'),
        [
            (
                encode_answer(b'503', b'Not-Executed: 1', b'Content-Length: 0'),
                AttemptResult.SHED,
            ),
            (
                encode_answer(b'421', b'Not-Executed: 1', b'Content-Length: 0'),
                AttemptResult.MISDIRECTED,
            ),
            (
                encode_answer(b'503', *SIGNED, b'Content-Length: 0'),
                AttemptResult.COMPLETE,
            ),
        ],
    )
    def test_statement(self, answer: bytes, result: AttemptResult) -> None:
        """Guards against taking every 503 for a request that has not run."""
        end = run_request(AnsweringServer(answer))
        assert end.result is result

    def test_refused_connection(self) -> None:
        """Guards against an unknown outcome if nothing was sent."""
        with socket.socket() as probe:
            probe.bind((IP, 0))
            address = f'{IP}:{probe.getsockname()[1]}'
        pool = BackendPool(IP, MAX_ANSWER)
        server = Server('i-1', address, 'a')
        end = asyncio.run(run_attempt(pool, server, outgoing(), 1))
        assert end.result is AttemptResult.NOT_SENT


class TestRepeatedRefusals:
    """Refusals that a server sends once more on a connection that is kept."""

    def send(self, *answers: bytes, ids: tuple[str, ...]) -> list[AttemptEnd]:
        """Sends requests, refused ones included, over one connection."""
        refused: defaultdict[str, set[HttpConnection]] = defaultdict(set)
        requests = (outgoing(name, refused_on=refused[name]) for name in ids)
        script = FirstConnection(*answers)
        return run_requests(script, *requests)

    def test_before_the_own_answer(self) -> None:
        """Guards against a false not-run for a request that runs."""
        own = COMPLETE_ANSWER.replace(b'a1', b'a2')
        ends = self.send(REFUSAL, REFUSAL + own, ids=('a1', 'a2'))
        results = [end.result for end in ends]
        assert results == [AttemptResult.SHED, AttemptResult.COMPLETE]

    def test_without_the_own_answer(self) -> None:
        """Guards against a false not-run for a request that may run."""
        ends = self.send(REFUSAL, REFUSAL, ids=('a1', 'a2'))
        results = [end.result for end in ends]
        assert results == [AttemptResult.SHED, AttemptResult.TIMED_OUT]

    def test_of_the_same_request(self) -> None:
        """Guards against the refusal of an earlier attempt of a request.

        It has the id of the request, so a second attempt must not wait for its
        answer on that connection.
        """
        ends = self.send(REFUSAL, REFUSAL, ids=('a1', 'a1'))
        results = [end.result for end in ends]
        assert results == [AttemptResult.SHED, AttemptResult.COMPLETE]

    @pytest.mark.parametrize('status', [b'503', b'421'])
    def test_without_an_id(self, status: bytes) -> None:
        """Guards against a refusal that may belong to another request."""
        refusal = encode_answer(
            status, b'Not-Executed: 1', b'Content-Length: 0'
        )
        own = COMPLETE_ANSWER
        ends = self.send(own, refusal, ids=('a1', 'a2'))
        results = [end.result for end in ends]
        assert results == [AttemptResult.COMPLETE, AttemptResult.MISMATCHED]


class TestRequests:
    """Requests to servers and reuse of connections."""

    def test_head(self) -> None:
        """Guards against a changed target or a missing header."""
        sent = encode_request(outgoing(body=b'abc', method='POST'), 'i-1', 0.25)
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
        second = COMPLETE_ANSWER.replace(b'a1', b'a2')
        script = AnsweringServer(COMPLETE_ANSWER, second)
        ends = run_requests(script, outgoing('a1'), outgoing('a2'))
        assert {end.result for end in ends} == {AttemptResult.COMPLETE}

    def test_stale_connection(self) -> None:
        """Guards against blaming a server that closes idle connections."""
        script = AnsweringServer(COMPLETE_ANSWER, b'', close=True)
        requests = (outgoing('a1'), outgoing('a2'))
        first, second = run_requests(
            script, *requests, pause=MIN_STALE_IDLE_S * 2
        )
        assert first.result is AttemptResult.COMPLETE
        assert (second.result, second.stale) == (AttemptResult.BROKEN, True)

    def test_server_that_resets_each_request(self) -> None:
        """Guards against taking a failing server for stale connections."""
        script = AnsweringServer(COMPLETE_ANSWER, b'', close=True)
        ids = ('a1', 'a2', 'a1', 'a2')
        ends = run_requests(
            script, *map(outgoing, ids), pause=MIN_STALE_IDLE_S * 2
        )
        assert [end.stale for end in ends] == [False, True, False, False]

    def test_cancelled_attempt(self) -> None:
        """Guards against work for a caller that has disconnected."""
        server = HangingServer()
        asyncio.run(run_cancelled_attempt(server))
        assert server.closed
