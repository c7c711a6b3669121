"""Holds signals back while a process starts or ends.

Until its handlers are installed, and again once the event loop has removed
them, the default action of SIGHUP and SIGTERM ends a process at once. Signals
that are held back are delivered when they are let through.
"""

import signal

HELD = frozenset((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def hold() -> None:
    """Holds signals back, also in threads that are started later."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def let_through() -> None:
    """Delivers the signals held back, and all later ones."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)


def is_stop_pending() -> bool:
    """Returns whether a request to stop is held back."""
    return not signal.sigpending().isdisjoint((signal.SIGTERM, signal.SIGINT))
