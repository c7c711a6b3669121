"""Entry point of the command line."""

import fire

from teaselcove.commands import changes


def serve(settings: str) -> None:
    """Runs a host.

    Args:
        settings: Path of the file of settings.
    """
    from teaselcove import daemon  # noqa: PLC0415, WPS433

    daemon.serve(settings)


COMMANDS = {
    'validate': changes.validate,
    'plan': changes.plan,
    'apply': changes.apply,
    'serve': serve,
}


def main() -> None:
    """Runs the command that the arguments name."""
    fire.Fire(COMMANDS, name='teaselcove')
