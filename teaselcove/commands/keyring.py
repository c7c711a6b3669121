"""Commands that issue and withdraw keys in the files of a directory."""

import json
import os
import re
from pathlib import Path

import msgspec
from fire import decorators

from teaselcove import documents, jsonc, keys
from teaselcove.commands.changes import read_directory
from teaselcove.commands.output import ExitCode, exit_with_error
from teaselcove.entities import Key
from teaselcove.ids import OrganisationId

KEYS = 'keys'
NEW_KEYS_FILE = 'keys.jsonc'
NEW_KEYS_TEXT = '{"keys": [\n]}\n'


@decorators.SetParseFn(str)
def issue(directory: str, organisation: str) -> None:
    """Adds a new key to the files and prints its text once.

    Args:
        directory: Directory with *.jsonc files.
        organisation: Id of the organisation that gets the key.
    """
    entities = read_directory(directory)
    if organisation not in {entry.id for entry in entities.organisations}:
        exit_with_error(
            ExitCode.INVALID, f'no organisation {organisation!r} is declared'
        )
    key, text = keys.issue(OrganisationId(organisation))
    path = file_for_keys(Path(directory))
    if not path.exists():
        path.write_text(NEW_KEYS_TEXT, encoding='utf-8')
    replace_text(path, with_key(jsonc.load(path), path, key))
    print(f'key {key.id} of organisation {organisation} added to {path}')
    print('its text is not stored and not shown again:')
    print(text)
    print('it is valid once apply is accepted')


@decorators.SetParseFn(str)
def withdraw(directory: str, key_id: str) -> None:
    """Removes a key from the files.

    Args:
        directory: Directory with *.jsonc files.
        key_id: Id of the key.
    """
    read_directory(directory)
    for path in sorted(Path(directory).glob(documents.PATTERN)):
        document = jsonc.load(path)
        for index, key in enumerate(document.root.get(KEYS, ())):
            if key['id'] == key_id:
                replace_text(path, without_key(document, path, index))
                print(
                    f'key {key_id} of organisation {key["organisation"]} '
                    f'removed from {path}'
                )
                print('it stays valid until apply is accepted')
                return
    exit_with_error(
        ExitCode.INVALID, f'no key {key_id!r} is declared in {directory}'
    )


def file_for_keys(directory: Path) -> Path:
    """Returns the first file with a list of keys, or the path of a new one."""
    for path in sorted(directory.glob(documents.PATTERN)):
        if KEYS in jsonc.load(path).root:
            return path
    return directory / NEW_KEYS_FILE


def with_key(document: jsonc.Document, path: Path, key: Key) -> str:
    """Returns the text of a file with a key inserted before the others."""
    text = path.read_text(encoding='utf-8')
    start = document.spans[(KEYS,)][0] + 1
    declared = json.dumps(msgspec.to_builtins(key))
    return f'{text[:start]}\n  {declared},{text[start:]}'


def without_key(document: jsonc.Document, path: Path, index: int) -> str:
    """Returns the text of a file without a key; keeps comments."""
    text = path.read_text(encoding='utf-8')
    start, end = document.spans[(KEYS, index)]
    before = text[:start].rstrip(' \t')
    after = text[end:]
    separator = re.match(r'((\s|//[^\n]*|/\*(.|\n)*?\*/)*),', after)
    if separator is not None:
        after = separator.group(1) + after[separator.end() :]
    if before.endswith('\n'):
        after = after.removeprefix('\n')
    return before + after


def replace_text(path: Path, text: str) -> None:
    """Replaces a file atomically, after checking that the text is valid.

    Raises:
        FieldError: If the text is not valid.
    """
    jsonc.parse(text, str(path))
    temporary = path.with_suffix('.new')
    temporary.write_text(text, encoding='utf-8')
    os.replace(temporary, path)
