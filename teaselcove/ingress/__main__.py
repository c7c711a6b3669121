"""Runs a proxy host: python -m teaselcove.ingress SETTINGS."""

import sys
from importlib import import_module
from pathlib import Path

from teaselcove.ingress import held_signals

USAGE_EXIT = 2


def main(arguments: list[str]) -> int:
    """Returns the exit code: 0 after a stop, 2 for invalid settings."""
    held_signals.hold()
    if len(arguments) != 1:
        print('usage: python -m teaselcove.ingress SETTINGS', file=sys.stderr)
        return USAGE_EXIT
    # Imported here, since it takes most of the time of the start.
    errors = import_module('teaselcove.errors')
    daemon = import_module('teaselcove.ingress.daemon')
    try:
        daemon.serve(Path(arguments[0]))
    except (errors.FieldError, errors.SettingsError) as error:
        print(error, file=sys.stderr)
        return USAGE_EXIT
    return 0


sys.exit(main(sys.argv[1:]))
