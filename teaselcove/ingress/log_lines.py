"""Structured log lines that never delay the event loop.

A line is put in a bounded queue; a thread writes it to standard output. When
the reader of the output is slow, ordinary lines are left out before warnings
and errors, and both are counted.
"""

import logging
import queue
import sys
import threading
import time
from collections import Counter
from typing import TextIO

import msgspec

from teaselcove.ids import HostId
from teaselcove.settings import LogSettings

QUEUE_LINES = 4000
# Ordinary lines are left out beyond this share of the queue.
ORDINARY_SHARE = 0.5
# Seconds between lines that say how many were left out.
LEFT_OUT_INTERVAL_S = 1
TIME_DIGITS = 6


class LineFormatter(logging.Formatter):
    """Formats a record as one JSON object a line.

    Attributes:
        host: The host.
        lifetime: Unix milliseconds of the start of the process.
    """

    def __init__(self, host: HostId, lifetime: int) -> None:
        super().__init__()
        self.host = host
        self.lifetime = lifetime

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record."""
        line = {
            'time': round(record.created, TIME_DIGITS),
            'host': self.host,
            'lifetime': self.lifetime,
            'level': record.levelname,
            'kind': record.getMessage(),
        }
        line.update(getattr(record, 'figures', {}))
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class LineHandler(logging.Handler):
    """Puts lines in a bounded queue.

    Attributes:
        left_out: Lines left out, by kind, that no line has told yet.
        total_left_out: Lines left out since the start.
    """

    def __init__(self, lines_per_second: int) -> None:
        super().__init__()
        self.lines_per_second = lines_per_second
        self.queue: queue.Queue[str | None] = queue.Queue(QUEUE_LINES)
        self.second = 0
        self.in_second: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()
        self.total_left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queues the line of a record, or counts it as left out."""
        self.start_second(int(record.created))
        if self.has_room(record):
            self.put(record.msg, self.format(record))
        else:
            self.leave_out(str(record.msg))

    def has_room(self, record: logging.LogRecord) -> bool:
        """Returns whether a line is within its bounds."""
        if record.levelno >= logging.WARNING:
            return True
        self.in_second[record.msg] += 1
        if self.in_second[record.msg] > self.lines_per_second:
            return False
        return self.queue.qsize() < QUEUE_LINES * ORDINARY_SHARE

    def put(self, kind: str, line: str) -> None:
        """Queues a line."""
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self.leave_out(kind)

    def leave_out(self, kind: str) -> None:
        """Counts a line that is not written."""
        self.left_out[kind] += 1
        self.total_left_out += 1

    def start_second(self, second: int) -> None:
        """Starts to count anew; tells what was left out before."""
        if second - self.second < LEFT_OUT_INTERVAL_S:
            return
        self.second = second
        self.in_second.clear()
        if self.left_out:
            record = logging.makeLogRecord(
                {
                    'msg': 'lines-left-out',
                    'levelname': 'WARNING',
                    'levelno': logging.WARNING,
                    'figures': {'lines': dict(self.left_out)},
                }
            )
            self.left_out.clear()
            self.put('lines-left-out', self.format(record))


class LineWriter(threading.Thread):
    """Writes queued lines to a stream until it is told to stop."""

    def __init__(self, lines: 'queue.Queue[str | None]', stream: TextIO):
        super().__init__(name='log', daemon=True)
        self.lines = lines
        self.stream = stream

    def run(self) -> None:
        """Writes lines as they come, several at once if they wait."""
        line = self.lines.get()
        while line is not None:
            self.stream.write(f'{line}\n')
            if self.lines.empty():
                self.stream.flush()
            line = self.lines.get()
        self.stream.flush()


class StructuredLog:
    """The log of a process.

    Attributes:
        handler: Takes the records of all loggers.
    """

    def __init__(
        self,
        settings: LogSettings,
        lines_per_second: int,
        host: HostId,
        stream: TextIO | None = None,
    ) -> None:
        self.handler = LineHandler(lines_per_second)
        lifetime = int(time.time() * 1000)
        self.handler.setFormatter(LineFormatter(host, lifetime))
        self.writer = LineWriter(self.handler.queue, stream or sys.stdout)
        self.writer.start()
        logging.basicConfig(
            level=settings.level, handlers=[self.handler], force=True
        )

    def close(self, timeout: float) -> None:
        """Writes what is queued, as far as the reader takes it in time."""
        try:
            self.handler.queue.put_nowait(None)
        except queue.Full:
            return
        self.writer.join(timeout)
