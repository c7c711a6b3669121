"""Tests of when a host calls the store."""

import asyncio

from teaselcove.errors import StoreUnavailableError
from teaselcove.ids import Instant
from teaselcove.ingress.entities import RecordPage
from teaselcove.ingress.freshness import Freshness
from tests.ingress_support import make_kernel

HEARTBEATS = 50


class RefusingStore:
    """A store that refuses this host."""

    def __init__(self) -> None:
        self.reads = 0

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Refuses."""
        self.reads += 1
        raise StoreUnavailableError(topic)


class NoGossip:
    """Messages that nobody gets."""

    outdated = None


async def hear_newer_versions(freshness: Freshness) -> None:
    """Plays heartbeats of hosts that have a newer version."""
    for _ in range(HEARTBEATS):
        freshness.outdated()
        await asyncio.sleep(0)


class TestRefusedHost:
    """The store refuses a host and serves the others."""

    def test_newer_version_elsewhere(self) -> None:
        """Guards against a call of the store for each heartbeat."""
        store = RefusingStore()
        freshness = Freshness(make_kernel(), store, NoGossip())
        asyncio.run(hear_newer_versions(freshness))
        assert store.reads == 1
