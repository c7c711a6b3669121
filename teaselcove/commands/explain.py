"""Prints the story of a request from the logs of the hosts."""

from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

# Kinds of lines that say what a host believed, with the request's lines.
BELIEFS = frozenset(
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
ABOUT_SERVERS = frozenset(('server', 'server-gone', 'condition'))
UNREADABLE = (msgspec.MsgspecError, KeyError, TypeError, ValueError)
ENDS = frozenset(('answered', 'refused', 'caller-gone'))
HIDDEN = frozenset(('time', 'host', 'kind', 'level', 'lifetime', 'request'))


class Line(msgspec.Struct):
    """A line of a host's log.

    Attributes:
        fields: The whole line.
    """

    time: float
    host: str
    kind: str
    request: str | None
    fields: dict[str, object]

    def text(self) -> str:
        """Returns the line for a reader."""
        shown = ' '.join(
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in HIDDEN
        )
        return f'{self.time:.3f} {self.host} {self.kind} {shown}'


def parse(text: str) -> Line | None:
    """Returns a line; anything before its first brace is passed over."""
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
    except UNREADABLE:
        return None


class LogLines:
    """Lines of several files.

    Attributes:
        unreadable: Lines that could not be read.
    """

    def __init__(self, files: Iterable[str]) -> None:
        self.unreadable = 0
        self.lines = sorted(self.read(files), key=lambda line: line.time)

    def read(self, files: Iterable[str]) -> Iterator[Line]:
        """Yields the lines of the files."""
        for name in files:
            content = Path(str(name)).read_text('utf-8', 'replace')
            for text in content.splitlines():
                line = parse(text)
                if line is None:
                    self.unreadable += 1
                else:
                    yield line


def timeline(reading: LogLines, request: str) -> list[str]:
    """Returns the lines of a request with the beliefs in force before it."""
    own = [line for line in reading.lines if line.request == request]
    if not own:
        return []
    hosts = {line.host for line in own}
    servers = {line.fields.get('server') for line in own} - {None}
    shown = states_before(reading, hosts, own[0].time) + own
    shown.extend(
        line
        for line in reading.lines
        if line.kind in ABOUT_SERVERS
        and line.host in hosts
        and line.fields.get('server') in servers
    )
    shown.sort(key=lambda line: line.time)
    return [line.text() for line in shown]


def states_before(
    reading: LogLines, hosts: set[str], time: float
) -> list[Line]:
    """Returns the newest line of each belief of some hosts at a time."""
    beliefs = {
        (line.host, line.kind): line
        for line in reading.lines
        if line.time <= time and line.host in hosts and line.kind in BELIEFS
    }
    return list(beliefs.values())


def cause_of(line: Line, attempts: list[Line]) -> str:
    """Returns why a request ended as it did."""
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
    """Returns how many requests ended by each cause."""
    attempts: dict[str, list[Line]] = {}
    causes: Counter[str] = Counter()
    for line in reading.lines:
        if line.request is None:
            continue
        if line.kind == 'attempt':
            attempts.setdefault(line.request, []).append(line)
        elif line.kind in ENDS:
            made = attempts.pop(line.request, [])
            causes[cause_of(line, made)] += 1
    return [f'{count:6} {cause}' for cause, count in causes.most_common()]


def explain(*words: str, summary: bool | str = False) -> None:
    """Prints what happened to a request, or all causes with --summary.

    Args:
        words: The id of a request, then files with logs; with --summary
            only files.
        summary: Counts the requests by cause. The command line gives it the
            word that follows, which is a file.
    """
    if summary:
        first = () if summary is True else (str(summary),)
        reading = LogLines((*first, *words))
        lines = count_causes(reading)
    else:
        reading = LogLines(words[1:])
        lines = timeline(reading, str(words[0]))
    for text in lines or ['no line of this request']:
        print(text)
    if reading.unreadable:
        print(f'{reading.unreadable} lines could not be read')
