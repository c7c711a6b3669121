"""Exit codes and error output of the commands."""

import sys
from enum import IntEnum
from typing import NoReturn


class ExitCode(IntEnum):
    """Exit codes of the commands.

    UNAVAILABLE means that the log could not be read or written, and that
    nothing was appended to it. LOST means that another change won, UNKNOWN
    that a change may or may not take effect.
    """

    DONE = 0
    UNAVAILABLE = 1
    INVALID = 2
    LOST = 3
    UNKNOWN = 4


def exit_with_error(code: ExitCode, problem: str) -> NoReturn:
    """Prints an error message and ends the command with an exit code."""
    print(problem, file=sys.stderr)
    sys.exit(int(code))
