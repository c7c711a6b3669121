"""Tests of invalid, late and incomplete responses, over real sockets."""

import asyncio
import socket
from collections import defaultdict

import pytest

from teaselcove.answer_memory import AnswerMemory
from teaselcove.entities import Server
from teaselcove.events import AttemptResult
from teaselcove.http_connection import HttpConnection
from teaselcove.ingress.backend import (
    MIN_STALE_IDLE_S,
    AttemptEnd,
    BackendPool,
    encode_request,
    run_attempt,
)
from tests.scripted_servers import (
    COMPLETE_ANSWER,
    IP,
    LATE_ANSWER,
    MAX_ANSWER,
    REFUSAL,
    SIGNED,
    UNFRAMED_ANSWER,
    AnsweringServer,
    FirstConnection,
    HangingServer,
    ResettingServer,
    encode_answer,
    outgoing,
    run_cancelled_attempt,
    run_request,
    run_requests,
)


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
        pool = BackendPool(IP, MAX_ANSWER, AnswerMemory())
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
