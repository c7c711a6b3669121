"""Structured logging that never blocks the event loop.

Lines go into a bounded queue that a thread writes to standard output. If the
reader of the output is slow, lines below warning level are dropped before
warnings and errors. Dropped lines are counted.
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
# Share of the queue above which lines below warning level are dropped.
INFO_QUEUE_SHARE = 0.5
# Seconds between reports of dropped lines.
DROP_REPORT_INTERVAL_S = 1
TIME_DIGITS = 6


class LineFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    Attributes:
        host: Id of the host.
        lifetime: Unix milliseconds of the start of the process.
    """

    def __init__(self, host: HostId, lifetime: int) -> None:
        super().__init__()
        self.host = host
        self.lifetime = lifetime

    def format(self, record: logging.LogRecord) -> str:
        """Returns a record as JSON."""
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
    """Puts log lines into a bounded queue.

    Attributes:
        dropped: Dropped lines by kind since the last report.
        total_dropped: Lines dropped since the start.
    """

    def __init__(self, lines_per_second: int) -> None:
        super().__init__()
        self.lines_per_second = lines_per_second
        self.queue: queue.Queue[str | None] = queue.Queue(QUEUE_LINES)
        self.second = 0
        self.lines_in_second: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self.total_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a record, or counts it as dropped."""
        self.start_new_second(int(record.created))
        if self.is_within_limits(record):
            self.put(record.msg, self.format(record))
        else:
            self.count_dropped(str(record.msg))

    def is_within_limits(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is within the rate and queue limits."""
        if record.levelno >= logging.WARNING:
            return True
        self.lines_in_second[record.msg] += 1
        if self.lines_in_second[record.msg] > self.lines_per_second:
            return False
        return self.queue.qsize() < QUEUE_LINES * INFO_QUEUE_SHARE

    def put(self, kind: str, line: str) -> None:
        """Queues a line, or counts it as dropped if the queue is full."""
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self.count_dropped(kind)

    def count_dropped(self, kind: str) -> None:
        """Counts a dropped line."""
        self.dropped[kind] += 1
        self.total_dropped += 1

    def start_new_second(self, second: int) -> None:
        """Resets the rate counters each second and reports dropped lines."""
        if second - self.second < DROP_REPORT_INTERVAL_S:
            return
        self.second = second
        self.lines_in_second.clear()
        if self.dropped:
            record = logging.makeLogRecord(
                {
                    'msg': 'lines-left-out',
                    'levelname': 'WARNING',
                    'levelno': logging.WARNING,
                    'figures': {'lines': dict(self.dropped)},
                }
            )
            self.dropped.clear()
            self.put('lines-left-out', self.format(record))


class LineWriter(threading.Thread):
    """Writes queued lines to a stream until it reads None."""

    def __init__(self, lines: 'queue.Queue[str | None]', stream: TextIO):
        super().__init__(name='log', daemon=True)
        self.lines = lines
        self.stream = stream

    def run(self) -> None:
        """Writes lines; flushes when the queue is empty."""
        line = self.lines.get()
        while line is not None:
            self.stream.write(f'{line}\n')
            if self.lines.empty():
                self.stream.flush()
            line = self.lines.get()
        self.stream.flush()


class StructuredLog:
    """Log output of a process.

    Attributes:
        handler: Handler of the root logger.
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
        """Writes queued lines, for at most a timeout in seconds."""
        try:
            self.handler.queue.put_nowait(None)
        except queue.Full:
            return
        self.writer.join(timeout)
