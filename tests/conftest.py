"""Deselects the tests listed in KNOWN-RED.txt and prints them.

Each entry starts with the id of a test at the beginning of a line, followed by
indented lines with the command, the seed and the observed failure.
"""

from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'

settings.register_profile('ci', derandomize=True, deadline=None)
settings.register_profile('soak', derandomize=False, deadline=None)
settings.load_profile('ci')


def known_red() -> list[str]:
    """Returns the ids of the tests with a known fault."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return [line.strip() for line in lines if line.startswith('tests/')]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects the tests with a known fault."""
    red = set(known_red())
    deselected = [item for item in items if item.nodeid in red]
    for item in deselected:
        items.remove(item)
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests with a known fault."""
    for test in known_red():
        terminalreporter.write_line(f'passed over, see KNOWN-RED.txt: {test}')
