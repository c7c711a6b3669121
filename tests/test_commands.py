"""Tests of the commands, with faults of the log."""

from pathlib import Path
from typing import Any

import pytest

from teaselcove import events as ev
from teaselcove.commands import changes, submission
from teaselcove.commands.status import HostReport, compare
from teaselcove.entities import Entities
from teaselcove.errors import AppendUnknownError, StoreUnavailableError
from teaselcove.fleet import FakeLog
from teaselcove.fold import State
from teaselcove.records import STREAM, ApplyRecord, Removed, encode_record
from tests.support import ENTITIES
from tests.test_documents import VALID, write

RIVAL = encode_record(ApplyRecord('rival', 0, ENTITIES, operator='eve'))
URL = 'http://127.0.0.1:1'


class FakeClient:
    """A log client with faults set by the test.

    Attributes:
        before_append: Records that other operators append first.
        append_fault: Fault of each append: 'refused', 'no-reply', 'dropped' or
            empty. The client gets no reply in the latter two cases.
        reads_left: Number of reads before all further ones fail, or None for
            no failure.
    """

    def __init__(self) -> None:
        self.log = FakeLog()
        self.before_append: list[bytes] = []
        self.append_fault = ''
        self.reads_left: int | None = None

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record, unless a fault prevents it."""
        while self.before_append:
            self.log.append(stream, self.before_append.pop())
        if self.append_fault == 'refused':
            raise StoreUnavailableError('refused')
        if self.append_fault != 'dropped':
            self.log.append(stream, payload)
        if self.append_fault:
            raise AppendUnknownError('no reply')
        return len(self.log.streams[stream]) - 1

    async def read(self, stream: str, offset: int) -> ev.RecordsRead:
        """Reads a stream, unless no reads are left."""
        if self.reads_left is not None:
            self.reads_left -= 1
            if self.reads_left < 0:
                raise StoreUnavailableError('down')
        return self.log.read(stream, offset)


@pytest.fixture
def client(monkeypatch: pytest.MonkeyPatch) -> FakeClient:
    """The log client of the commands, without delays between reads."""
    fake = FakeClient()
    monkeypatch.setattr(changes, 'LogClient', lambda url, session: fake)
    monkeypatch.setattr(submission, 'READ_BACK_TRIES', 2)
    monkeypatch.setattr(submission, 'READ_BACK_INTERVAL_S', 0)
    return fake


def exit_code(command: Any, *arguments: Any) -> int:
    """Returns the exit code of a command."""
    try:
        command(*arguments)
    except SystemExit as stopped:
        return int(stopped.code)
    return 0


class TestApply:
    """The exit code and the output match the result in the log."""

    @pytest.mark.parametrize(
        ('options', 'code', 'words'),
        [
            ({}, 0, 'accepted: version 1'),
            ({'before_append': [RIVAL]}, 3, 'lost: apply rival by eve'),
            ({'append_fault': 'no-reply'}, 0, 'accepted: version 1'),
            ({'append_fault': 'dropped'}, 4, 'may or may not take effect'),
            (
                {'append_fault': 'dropped', 'before_append': [RIVAL]},
                3,
                'lost: apply rival',
            ),
            ({'append_fault': 'refused'}, 1, 'nothing was applied'),
            ({'reads_left': 0}, 1, 'nothing was applied'),
            ({'reads_left': 1}, 1, 'nothing was applied'),
            ({'reads_left': 2}, 4, 'may or may not take effect'),
            ({'before_append': [b'{']}, 0, 'accepted: version 1'),
        ],
    )
    def test_result(
        self,
        client: FakeClient,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        options: dict[str, Any],
        code: int,
        words: str,
    ) -> None:
        """Guards against a wrong report of the result of a change."""
        for name, setting in options.items():
            setattr(client, name, setting)
        arguments = (changes.apply, str(write(tmp_path)), URL, 'me')
        assert exit_code(*arguments) == code
        printed = capsys.readouterr()
        assert words in printed.out + printed.err

    @pytest.mark.parametrize('fault', ['no-reply', 'dropped'])
    def test_apply_again(
        self,
        client: FakeClient,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        fault: str,
    ) -> None:
        """Guards against a second version after an apply without a reply."""
        client.append_fault = fault
        client.reads_left = 2
        arguments = (changes.apply, str(write(tmp_path)), URL, 'me')
        assert exit_code(*arguments) == 4
        client.append_fault = ''
        client.reads_left = None
        assert exit_code(*arguments) == 0
        assert exit_code(*arguments) == 0
        assert 'nothing to change: version 1' in capsys.readouterr().out
        assert len(client.log.streams[STREAM]) == 1

    def test_same_change_appended_first(
        self, client: FakeClient, tmp_path: Path
    ) -> None:
        """Guards against reporting a change as lost that has taken effect.

        Another apply with the same content is appended first.
        """
        arguments = (changes.apply, str(write(tmp_path)), URL, 'me')
        exit_code(*arguments)
        same = client.log.streams[STREAM].pop()
        client.before_append = [same.replace(b'"apply_id":"', b'"apply_id":"x')]
        assert exit_code(*arguments) == 0
        assert len(client.log.streams[STREAM]) == 2

    def test_invalid(self, client: FakeClient, tmp_path: Path) -> None:
        """Guards against applying the valid files of an invalid directory."""
        write(write(tmp_path), '{', 'b.jsonc')
        assert exit_code(changes.apply, str(tmp_path), URL, 'me') == 2
        assert not client.log.streams[STREAM]

    def test_rollback(
        self,
        client: FakeClient,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against a rollback that restores other content."""
        arguments = (changes.apply, str(tmp_path), URL, 'me')
        write(tmp_path)
        exit_code(*arguments)
        write(tmp_path, VALID.replace('"burst": 4', '"burst": 9'))
        exit_code(*arguments)
        assert exit_code(changes.rollback, 1, URL, 'me') == 0
        assert exit_code(changes.rollback, 9, URL, 'me') == 2
        write(tmp_path)
        exit_code(*arguments)
        assert 'nothing to change: version 3' in capsys.readouterr().out

    def test_rollback_of_withdrawn_key(self, client: FakeClient) -> None:
        """Guards against a rollback that makes a withdrawn key valid again."""
        withdrawal = ApplyRecord(
            'second', 1, Entities(), Removed(keys=(ENTITIES.keys[0].id,))
        )
        for record in (ApplyRecord('first', 0, ENTITIES), withdrawal):
            client.log.append(STREAM, encode_record(record))
        assert exit_code(changes.rollback, 1, URL, 'me') == 0
        assert len(client.log.streams[STREAM]) == 2
        assert exit_code(changes.rollback, 1, URL, 'me', True) == 0
        assert len(client.log.streams[STREAM]) == 3


class TestStatus:
    """Comparison of a host with the log."""

    @pytest.mark.parametrize(
        ('version', 'digest', 'words'),
        [
            (0, '0', 'up to date'),
            (0, '1', 'DIFFERENT CONTENT'),
            (2, '0', 'newer'),
            (-1, '0', '1 versions behind'),
        ],
    )
    def test_compare(self, version: int, digest: str, words: str) -> None:
        """Guards against reporting an outdated host as up to date."""
        report = HostReport('host-1', version, digest, True, 0)
        assert words in compare(report, State())
