"""Tests of log lines and of `explain`, which finds causes in them."""

import io
import logging
from pathlib import Path

import msgspec
import pytest

from teaselcove.commands.explain import LogLines, count_causes, timeline
from teaselcove.errors import Reason
from teaselcove.ingress.log_lines import (
    QUEUE_LINES,
    LineFormatter,
    LineHandler,
    LineWriter,
)
from teaselcove.ingress.server import BadRequestError, BodyMemory

LINES_PER_SECOND = 100
SECOND = 1000


def record(kind: str, level: int, second: float = SECOND) -> logging.LogRecord:
    """Returns a log record."""
    made = logging.LogRecord('x', level, 'x', 1, kind, None, None)
    made.created = second
    made.figures = {'request': 'a1'}
    return made


def make_handler() -> LineHandler:
    """Returns a handler whose queue is not read."""
    handler = LineHandler(LINES_PER_SECOND)
    handler.setFormatter(LineFormatter('host-1', 7))
    return handler


class TestLines:
    """Logging that is bounded and never blocks."""

    def test_stalled_reader(self) -> None:
        """Guards against requests that block on a full log queue."""
        handler = make_handler()
        for index in range(2 * QUEUE_LINES):
            handler.emit(record('refused', logging.WARNING, index))
        assert handler.queue.qsize() == QUEUE_LINES
        assert handler.total_dropped >= QUEUE_LINES

    def test_limit_per_kind(self) -> None:
        """Guards against a flood of lines of one kind."""
        handler = make_handler()
        for _ in range(10 * LINES_PER_SECOND):
            handler.emit(record('attempt', logging.INFO))
        assert handler.queue.qsize() == LINES_PER_SECOND
        handler.emit(record('answered', logging.INFO))
        assert handler.queue.qsize() == LINES_PER_SECOND + 1

    def test_warnings_take_precedence(self) -> None:
        """Guards against dropping refusals before ordinary lines."""
        handler = make_handler()
        for second in range(QUEUE_LINES):
            handler.emit(record('answered', logging.INFO, second))
        before = handler.queue.qsize()
        assert before < QUEUE_LINES
        handler.emit(record('refused', logging.WARNING, 0))
        assert handler.queue.qsize() == before + 1

    def test_dropped_lines_are_reported(self) -> None:
        """Guards against dropping lines without a report."""
        handler = make_handler()
        for _ in range(LINES_PER_SECOND + 5):
            handler.emit(record('attempt', logging.INFO))
        handler.emit(record('start', logging.INFO, SECOND + 2))
        handler.queue.put(None)
        stream = io.StringIO()
        LineWriter(handler.queue, stream).run()
        lines = [
            msgspec.json.decode(text) for text in stream.getvalue().split()
        ]
        reports = [line for line in lines if line['kind'] == 'lines-left-out']
        assert [line['lines'] for line in reports] == [{'attempt': 5}]
        assert {line['host'] for line in lines} == {'host-1'}


class TestExplain:
    """Finds the cause of an outcome from a request's id."""

    @pytest.fixture()
    def log(self, tmp_path: Path) -> str:
        """A log of two hosts with one malformed line."""
        lines = [
            {'time': 1, 'host': 'h1', 'kind': 'configuration', 'version': 3},
            {'time': 2, 'host': 'h2', 'kind': 'configuration', 'version': 4},
            {'time': 3, 'host': 'h1', 'kind': 'condition', 'server': 's1'},
            {
                'time': 4,
                'host': 'h1',
                'kind': 'attempt',
                'request': 'a1',
                'server': 's1',
                'result': 'broken',
            },
            {
                'time': 5,
                'host': 'h1',
                'kind': 'refused',
                'request': 'a1',
                'reason': 'answer-lost',
            },
            {
                'time': 6,
                'host': 'h2',
                'kind': 'refused',
                'request': 'a2',
                'reason': 'rate',
            },
        ]
        text = '\n'.join(
            f'  0.1 h {msgspec.json.encode(line).decode()}' for line in lines
        )
        path = tmp_path / 'hosts.log'
        path.write_text(f'{text}\n{{"time": broken\n', encoding='utf-8')
        return str(path)

    def test_timeline(self, log: str) -> None:
        """Guards against a timeline without the cause."""
        shown = timeline(LogLines([log]), 'a1')
        kinds = [line.split()[2] for line in shown]
        assert kinds == ['configuration', 'condition', 'attempt', 'refused']
        assert 'version=3' in shown[0]

    def test_unknown_request(self, log: str) -> None:
        """Guards against showing the timeline of another request."""
        assert not timeline(LogLines([log]), 'a9')

    def test_causes(self, log: str) -> None:
        """Guards against counting refusals without their cause."""
        reading = LogLines([log])
        assert {line.strip() for line in count_causes(reading)} == {
            '1 refused: answer-lost after broken',
            '1 refused: rate',
        }
        assert reading.unreadable == 1


class TestBodyMemory:
    """Memory limit for the bodies of all requests."""

    def test_bound(self) -> None:
        """Guards against a process that is killed for lack of memory."""
        memory = BodyMemory(10)
        memory.reserve(8)
        with pytest.raises(BadRequestError) as raised:
            memory.reserve(8)
        assert raised.value.refusal.reason is Reason.QUEUE_FULL
        memory.release(8)
        memory.release(8)
        memory.reserve(10)
        assert memory.reserved == 10
