"""Prints the course of a request from the logs of the hosts."""

from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

# Kinds of lines that record the state of a host. The newest of each kind before
# a request is shown with the lines of the request.
STATE_KINDS = frozenset(
    (
        'start',
        'stop',
        'drain',
        'reload',
        'paused',
        'configuration',
        'store-lost',
        'store-regained',
        'in-use',
    )
)
SERVER_KINDS = frozenset(('server', 'server-gone', 'condition'))
PARSE_ERRORS = (msgspec.MsgspecError, KeyError, TypeError, ValueError)
FINAL_KINDS = frozenset(('answered', 'refused', 'caller-gone'))
HIDDEN_FIELDS = frozenset(
    ('time', 'host', 'kind', 'level', 'lifetime', 'request')
)


class Line(msgspec.Struct):
    """A parsed line of a host's log.

    Attributes:
        fields: All fields of the line.
    """

    time: float
    host: str
    kind: str
    request: str | None
    fields: dict[str, object]

    def text(self) -> str:
        """Returns the line in readable form."""
        shown = ' '.join(
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in HIDDEN_FIELDS
        )
        return f'{self.time:.3f} {self.host} {self.kind} {shown}'


def parse(text: str) -> Line | None:
    """Parses a line of a log; ignores any prefix before the first brace.

    Returns:
        The line, or None if it is not valid.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        return Line(
            float(fields['time']),
            str(fields['host']),
            str(fields['kind']),
            fields.get('request'),
            fields,
        )
    except PARSE_ERRORS:
        return None


class LogLines:
    """Lines of several log files, ordered by time.

    Attributes:
        unreadable: Number of lines that could not be parsed.
    """

    def __init__(self, files: Iterable[str]) -> None:
        self.unreadable = 0
        self.lines = sorted(self.read(files), key=lambda line: line.time)

    def read(self, files: Iterable[str]) -> Iterator[Line]:
        """Yields the lines that could be parsed and counts the others."""
        for name in files:
            content = Path(str(name)).read_text('utf-8', 'replace')
            for text in content.splitlines():
                line = parse(text)
                if line is None:
                    self.unreadable += 1
                else:
                    yield line


def timeline(reading: LogLines, request: str) -> list[str]:
    """Returns the lines that explain a request, ordered by time.

    These are its own lines, the state of its hosts before it, and the changes
    of the servers that it was sent to.
    """
    own = [line for line in reading.lines if line.request == request]
    if not own:
        return []
    hosts = {line.host for line in own}
    servers = {line.fields.get('server') for line in own} - {None}
    shown = states_before(reading, hosts, own[0].time) + own
    shown.extend(
        line
        for line in reading.lines
        if line.kind in SERVER_KINDS
        and line.host in hosts
        and line.fields.get('server') in servers
    )
    shown.sort(key=lambda line: line.time)
    return [line.text() for line in shown]


def states_before(
    reading: LogLines, hosts: set[str], time: float
) -> list[Line]:
    """Returns the newest line of each state kind and host before a time."""
    newest = {
        (line.host, line.kind): line
        for line in reading.lines
        if line.time <= time and line.host in hosts and line.kind in STATE_KINDS
    }
    return list(newest.values())


def cause_of(line: Line, attempts: list[Line]) -> str:
    """Returns how a request ended and why."""
    if line.kind == 'refused':
        cause = str(line.fields.get('reason'))
        if attempts:
            last = attempts[-1].fields
            cause = f'{cause} after {last.get("result")}'
        return f'refused: {cause}'
    if line.kind == 'answered':
        return f'answered: {line.fields.get("status")}'
    return line.kind


def count_causes(reading: LogLines) -> list[str]:
    """Returns a line for each cause with the number of requests it ended."""
    attempts: dict[str, list[Line]] = {}
    causes: Counter[str] = Counter()
    for line in reading.lines:
        if line.request is None:
            continue
        if line.kind == 'attempt':
            attempts.setdefault(line.request, []).append(line)
        elif line.kind in FINAL_KINDS:
            made = attempts.pop(line.request, [])
            causes[cause_of(line, made)] += 1
    return [f'{count:6} {cause}' for cause, count in causes.most_common()]


def explain(*words: str, summary: bool | str = False) -> None:
    """Prints what happened to a request, or counts causes with --summary.

    Args:
        words: The id of a request, then log files; with --summary only
            log files.
        summary: Whether to count the requests by cause. On the command line
            it takes the word that follows it, which is the first log file.
    """
    if summary:
        first = () if summary is True else (str(summary),)
        reading = LogLines((*first, *words))
        lines = count_causes(reading)
    else:
        reading = LogLines(words[1:])
        lines = timeline(reading, str(words[0]))
    for text in lines or ['no log lines of this request found']:
        print(text)
    if reading.unreadable:
        print(f'{reading.unreadable} lines could not be read')
