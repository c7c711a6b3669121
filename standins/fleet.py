"""Keeps the former import path of the virtual-time harness."""

from teaselcove.fleet import FakeLog, Fleet, FleetHost

__all__ = ('FakeLog', 'Fleet', 'FleetHost')
