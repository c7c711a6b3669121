"""Entry point of the `teaselcove` command line."""

import sys
from pathlib import Path

import fire

from teaselcove.errors import FieldError

INVALID_EXIT_CODE = 2


def serve(settings: str) -> None:
    """Runs a host of the fleet.

    Args:
        settings: File with the settings of the host.
    """
    from teaselcove import daemon  # noqa: WPS433

    daemon.serve(Path(settings))


def main() -> None:
    """Runs the command that the arguments name."""
    try:
        fire.Fire({'serve': serve})
    except FieldError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(INVALID_EXIT_CODE)
