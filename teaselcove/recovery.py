"""Rebuild of the configuration of a host that cannot continue folding.

The cause is a gap left by retention, or content that differs from a peer's at
the same version.
"""

import logging

from teaselcove.effects import ReadLog
from teaselcove.events import RecordsRead, StoreFailed
from teaselcove.ids import Instant, Version
from teaselcove.kernel import Kernel, on, services
from teaselcove.rebuild import Phase, Rebuild

log = logging.getLogger(__name__)

# Seconds without progress after which a new trigger restarts the rebuild.
PROGRESS_TIMEOUT_S = 3


@services.register('recovery')
class Recovery:
    """Runs at most one rebuild at a time.

    Attributes:
        rebuild: The rebuild in progress, or None.
        last_progress_at: When it was started or last made progress.
        verified_version: Latest version adopted from a rebuild.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.rebuild: Rebuild | None = None
        self.last_progress_at = Instant(0)
        self.verified_version = Version(0)

    def start_rebuild(self, cause: str, now: Instant) -> None:
        """Starts a rebuild unless one is making progress."""
        running = self.rebuild is not None
        if running and now - self.last_progress_at < PROGRESS_TIMEOUT_S:
            return
        self.kernel.decide('rebuild', cause=cause)
        self.rebuild = Rebuild()
        self.last_progress_at = now
        self.read_next()

    def verify(self, now: Instant) -> None:
        """Rebuilds from the log unless this version is verified already."""
        if (
            self.verified_version
            != self.kernel.service('configuration').version
        ):
            self.start_rebuild('digest', now)

    def read_next(self) -> None:
        """Sends the next read of the rebuild."""
        request = self.rebuild.request
        self.kernel.emit(ReadLog(request.stream, request.offset))

    @on(StoreFailed)
    def store_failed(self, event: StoreFailed, now: Instant) -> None:
        """Abandons the rebuild; the next trigger starts another one."""
        if self.rebuild is not None:
            if self.rebuild.request.stream == event.stream:
                self.rebuild = None

    @on(RecordsRead)
    def records_read(self, event: RecordsRead, now: Instant) -> None:
        """Passes a result to the rebuild in progress."""
        rebuild = self.rebuild
        if rebuild is None:
            return
        before = rebuild.request
        rebuild.handle_read(event)
        if rebuild.is_finished:
            self.rebuild = None
            self.finish(rebuild, now)
        elif rebuild.request != before:
            self.last_progress_at = now
            self.read_next()

    def finish(self, rebuild: Rebuild, now: Instant) -> None:
        """Adopts the rebuilt configuration."""
        state = rebuild.state
        if rebuild.phase is Phase.LOST:
            log.warning(
                'configuration cannot be rebuilt: %s', rebuild.loss_reason
            )
            self.kernel.decide('rebuild-failed', refused=rebuild.damaged_count)
            return
        configuration = self.kernel.service('configuration')
        digest_before = configuration.digest
        adopted = configuration.adopt(state, now)
        if adopted:
            self.verified_version = state.version
        self.kernel.decide(
            'rebuilt',
            version=state.version,
            offset=state.next_offset,
            refused=rebuild.damaged_count,
            adopted=adopted,
            equal=digest_before == state.digest,
        )
