"""Runs a proxy host: python -m teaselcove.ingress SETTINGS."""

import sys
from pathlib import Path

from teaselcove.errors import FieldError, SettingsError
from teaselcove.ingress.daemon import serve

USAGE_EXIT = 2


def main(arguments: list[str]) -> int:
    """Returns the exit code: 0 after a stop, 2 for invalid settings."""
    if len(arguments) != 1:
        print('usage: python -m teaselcove.ingress SETTINGS', file=sys.stderr)
        return USAGE_EXIT
    try:
        serve(Path(arguments[0]))
    except (FieldError, SettingsError) as error:
        print(error, file=sys.stderr)
        return USAGE_EXIT
    return 0


sys.exit(main(sys.argv[1:]))
