"""Re-exports the virtual-time harness under its former import path."""

from teaselcove.fleet import FakeLog, Fleet, FleetHost

__all__ = ('FakeLog', 'Fleet', 'FleetHost')
