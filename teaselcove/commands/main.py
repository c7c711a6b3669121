"""Entry point of the `teaselcove` command line."""

from pathlib import Path

import fire

from teaselcove.commands import (
    changes,
    explain,
    keyring,
    measure,
    status,
)
from teaselcove.commands.output import ExitCode, exit_with_error
from teaselcove.errors import FieldError, SettingsError


def serve(settings: str) -> None:
    """Runs a host of the fleet.

    Args:
        settings: Path of the settings file of the host.
    """
    from teaselcove import daemon  # noqa: WPS433

    daemon.serve(Path(str(settings)))


def ingress(settings: str) -> None:
    """Runs a host of the fleet on the users' platform.

    Args:
        settings: Path of the file with the settings that the platform does
            not provide.
    """
    from teaselcove.ingress import daemon  # noqa: WPS433

    daemon.serve(Path(str(settings)))


COMMANDS = {
    'validate': changes.validate,
    'plan': changes.plan,
    'apply': changes.apply,
    'rollback': changes.rollback,
    'status': status.status,
    'keys': {'issue': keyring.issue, 'withdraw': keyring.withdraw},
    'measure': measure.run_measure,
    'serve': serve,
    'ingress': ingress,
    'explain': explain.explain,
}


def main() -> None:
    """Runs the command that the arguments name."""
    try:
        fire.Fire(COMMANDS, name='teaselcove')
    except (FieldError, SettingsError) as error:
        exit_with_error(ExitCode.INVALID, str(error))
