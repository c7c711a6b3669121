"""Runs a proxy host that gets a signal while it imports its modules.

Run as `python -m tests.signal_at_import SIGNAL SETTINGS`.
"""

import os
import runpy
import signal
import sys
from importlib.abc import MetaPathFinder
from typing import Any

FIRST_LARGE_MODULE = 'teaselcove.ingress.daemon'


class SignalAtImport(MetaPathFinder):
    """Sends a signal to this process when a module is imported."""

    def __init__(self, number: signal.Signals) -> None:
        self.number = number

    def find_spec(self, name: str, *_: Any) -> None:
        """Sends the signal at the import of the module; finds nothing."""
        if name == FIRST_LARGE_MODULE:
            os.kill(os.getpid(), self.number)


if __name__ == '__main__':
    sys.meta_path.insert(0, SignalAtImport(signal.Signals[sys.argv.pop(1)]))
    runpy.run_module('teaselcove.ingress', run_name='__main__')
