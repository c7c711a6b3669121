"""Tests of loading configuration files and of the commands that edit them."""

from pathlib import Path

import pytest

from teaselcove import documents, keys
from teaselcove.commands import keyring
from teaselcove.errors import FieldError
from teaselcove.plan import difference

VALID = """// the village
{
  "organisations": [{"id": "village", "rate": 10, "burst": 4}],
  "services": [
    {
      "id": "job",
      "floor": 1,
      "servers": [
        {"id": "job-1", "address": "127.0.0.1:80", "zone": "a"}
      ]
    }
  ],
  "routes": [
    {"id": "jobs", "prefix": "/jobs", "service": "job",
     "organisations": ["village"],
     "calls": [{"method": "GET", "idempotent": true}]}
  ]
}
"""
KEY = (
    '{{"keys": [\n{{"id": "{0}", "organisation": "{1}", '
    '"salt": "0123456789abcdef", "hash": "{2}"}}]}}'
)
HASH = 'ab' * 32

# Text to replace, replacement, expected line and field, part of the problem.
ERRORS = [
    ('"rate": 10', '"speed": 10', 3, 'organisations.0.speed', 'unknown'),
    ('"rate": 10', '"rate": "ten"', 3, 'organisations.0.rate', 'Expected'),
    ('"rate": 10', '"rate": 0', 3, 'organisations.0.rate', 'not from'),
    ('"rate": 10', '"rate": 1e999', 3, 'organisations.0.rate', 'not from'),
    ('"burst": 4', '"burst": 0', 3, 'organisations.0.burst', 'not from'),
    ('"burst": 4', '"burst": 4.5', 3, 'organisations.0.burst', 'Expected'),
    (
        '"burst": 4',
        '"burst": 4, "weight": 0',
        3,
        'organisations.0.weight',
        'not from',
    ),
    ('"id": "village", ', '', 3, 'organisations.0', 'missing'),
    ('"village", "rate"', '"a_b", "rate"', 3, 'organisations.0.id', 'letters'),
    ('"floor": 1', '"floor": 2', 7, 'services.0.floor', 'the 1 servers'),
    ('"floor": 1', '"floor": -1', 7, 'services.0.floor', 'not from'),
    (
        '127.0.0.1:80',
        'example.org:80',
        9,
        'services.0.servers.0.address',
        'IP address',
    ),
    (
        '127.0.0.1:80',
        '127.0.0.1:70000',
        9,
        'services.0.servers.0.address',
        'IP address',
    ),
    (
        '"zone": "a"',
        '"zone": "a", "slots": 0',
        9,
        'services.0.servers.0.slots',
        'not from',
    ),
    (
        '"zone": "a"}',
        '"zone": "a"},\n{"id": "job-1", "address": "127.0.0.1:81",'
        ' "zone": "a"}',
        10,
        'services.0.servers.1.id',
        'duplicate id, first declared at',
    ),
    ('"service": "job"', '"service": "x"', 14, 'routes.0.service', "'x'"),
    ('["village"]', '["other"]', 15, 'routes.0.organisations.0', "'other'"),
    ('"/jobs"', '"jobs"', 14, 'routes.0.prefix', 'starts with /'),
    ('"GET"', '"get"', 16, 'routes.0.calls.0.method', 'capitals'),
    ('// the village', '/* the village', 1, '', 'not valid JSON'),
    ('"village", "rate"', r'"\q", "rate"', 3, '', 'not a valid string'),
    ('"routes"', '"rules"', 13, 'rules', 'unknown field'),
    ('"burst": 4', '"burst": 4, "rate": 1', 3, 'rate', 'stands twice'),
]


def write(directory: Path, text: str = VALID, name: str = 'a.jsonc') -> Path:
    """Writes a file of a configuration directory."""
    (directory / name).write_text(text, encoding='utf-8')
    return directory


class TestErrors:
    """An invalid directory is rejected as a whole."""

    def test_valid(self, tmp_path: Path) -> None:
        """Guards against errors for valid files."""
        entities = documents.read(write(tmp_path))
        assert entities.routes[0].is_idempotent('GET', '/jobs/7')

    @pytest.mark.parametrize(('old', 'new', 'line', 'field', 'problem'), ERRORS)
    def test_error(
        self,
        tmp_path: Path,
        old: str,
        new: str,
        line: int,
        field: str,
        problem: str,
    ) -> None:
        """Guards against an undetected error or a wrong error location."""
        assert old in VALID
        write(tmp_path, VALID.replace(old, new, 1))
        with pytest.raises(documents.DocumentsError) as caught:
            documents.read(tmp_path)
        first: FieldError = caught.value.errors[0]
        assert first.path.endswith('a.jsonc')
        assert first.line == line, first
        assert first.field.endswith(field)
        assert problem in first.problem

    @pytest.mark.parametrize(
        ('text', 'field', 'problem'),
        [
            (KEY.format('k1', 'other', HASH), 'keys.0.organisation', 'other'),
            (KEY.format('k1', 'village', 'xyz'), 'keys.0.hash', 'hexadecimal'),
            (
                '{"routes": [\n{"id": "r", "prefix": "/jobs",'
                '"service": "job"}]}',
                'routes.0.prefix',
                'duplicate prefix',
            ),
            (
                '{"organisations": [\n{"id": "village", "rate": 1,'
                '"burst": 1}]}',
                'organisations.0.id',
                'duplicate id',
            ),
        ],
    )
    def test_across_files(
        self, tmp_path: Path, text: str, field: str, problem: str
    ) -> None:
        """Guards against checks that cover only a single file."""
        write(write(tmp_path), text, 'b.jsonc')
        with pytest.raises(documents.DocumentsError) as caught:
            documents.read(tmp_path)
        assert len(caught.value.errors) == 1
        first = caught.value.errors[0]
        assert (first.line, first.field) == (2, field)
        assert problem in first.problem

    def test_missing_directory(self, tmp_path: Path) -> None:
        """Guards against a mistyped path that is read as no entities."""
        with pytest.raises(documents.DocumentsError):
            documents.read(tmp_path / 'none')


class TestKeys:
    """The key commands edit the files and preserve comments."""

    def test_issue_and_withdraw(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a stored secret and against lost comments."""
        write(write(tmp_path), '{"keys": [ // none yet\n]}', 'keys.jsonc')
        before = documents.read(tmp_path)
        keyring.issue(str(tmp_path), 'village')
        keyring.issue(str(tmp_path), 'village')
        text = capsys.readouterr().out.splitlines()[2]
        key_id, secret = keys.parse_key(text)
        file_text = (tmp_path / 'keys.jsonc').read_text(encoding='utf-8')
        assert secret not in file_text
        assert '// none yet' in file_text
        issued = {key.id: key for key in documents.read(tmp_path).keys}
        assert len(issued) == 2
        assert issued[key_id].hash == keys.hash_secret(
            issued[key_id].salt, secret
        )
        for name in issued:
            keyring.withdraw(str(tmp_path), name)
        assert documents.read(tmp_path) == before
        assert difference(before, before).is_empty

    def test_unknown_key(self, tmp_path: Path) -> None:
        """Guards against success for a key that does not exist."""
        with pytest.raises(SystemExit) as caught:
            keyring.withdraw(str(write(tmp_path)), '00')
        assert caught.value.code == 2
