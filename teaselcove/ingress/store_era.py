"""Era of the store: how often it came back from an older copy of itself.

Within an era the store loses nothing, and offsets only grow. At the start of
the next one the last records are gone, and their offsets are given out again.
"""

from collections.abc import Callable

from teaselcove.ids import Era, HostId, Instant
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel


@ingress_services.register('store-era')
class StoreEra:
    """Tracks the latest era that this host has heard of.

    Attributes:
        current: The latest era, or None before the first answer of the store.
        restored_at: When this host first heard of it, or None if it was the
            era at the start of the host.
        on_restored: Called when the store was restored.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.current: Era | None = None
        self.restored_at: Instant | None = None
        self.on_restored: Callable[[], None] = lambda: None

    def observe(
        self, era: Era, now: Instant, peer: HostId | None = None
    ) -> bool:
        """Records an era; returns whether the store was restored.

        Args:
            era: Era in which the store has answered.
            now: Present time.
            peer: The host that it has answered, or None for this host.
        """
        before = self.current
        if before is None:
            self.current = era
            return False
        if era <= before:
            return False
        self.current = era
        self.restored_at = now
        self.kernel.decide(
            'store-restored', before=before, after=era, peer=peer
        )
        self.on_restored()
        return True
