"""Exit codes and printed lines that the commands share."""

import sys
from enum import IntEnum
from typing import NoReturn


class ExitCode(IntEnum):
    """Exit codes of the commands.

    UNAVAILABLE means that the log could not be read, and nothing was
    appended to it.
    """

    DONE = 0
    UNAVAILABLE = 1
    INVALID = 2
    LOST = 3
    UNKNOWN = 4


def exit_with_error(code: ExitCode, problem: str) -> NoReturn:
    """Prints why a command failed and ends it."""
    print(problem, file=sys.stderr)
    sys.exit(int(code))
