"""Rebuild of the configuration of a host that cannot fold on.

The cause is a gap that retention left, or content that differs from a peer's
at the same version.
"""

import logging

from teaselcove.effects import ReadLog
from teaselcove.events import RecordsRead, StoreFailed
from teaselcove.ids import Instant, Version
from teaselcove.kernel import Kernel, on, services
from teaselcove.rebuild import Phase, Rebuild

log = logging.getLogger(__name__)

# A rebuild without progress for this long is given up; the next trigger
# starts another one.
PROGRESS_TIMEOUT_S = 3


@services.register('recovery')
class Recovery:
    """Runs at most one rebuild at a time.

    Attributes:
        rebuild: The rebuild in progress, or None.
        progress_at: When it last took a read.
        verified: Version whose content was found equal to the log's.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.rebuild: Rebuild | None = None
        self.progress_at = Instant(0)
        self.verified = Version(0)

    def begin(self, cause: str, now: Instant) -> None:
        """Starts a rebuild, unless one makes progress."""
        running = self.rebuild is not None
        if running and now - self.progress_at < PROGRESS_TIMEOUT_S:
            return
        self.kernel.decide('rebuild', cause=cause)
        self.rebuild = Rebuild()
        self.progress_at = now
        self.read_next()

    def verify(self, now: Instant) -> None:
        """Checks the own content against the log, once for a version."""
        if self.verified != self.kernel.service('configuration').version:
            self.begin('digest', now)

    def read_next(self) -> None:
        """Asks for what the rebuild wants to read."""
        request = self.rebuild.request
        self.kernel.emit(ReadLog(request.stream, request.offset))

    @on(StoreFailed)
    def store_failed(self, event: StoreFailed, now: Instant) -> None:
        """Gives the rebuild up; the next trigger starts another one."""
        if self.rebuild is not None:
            if self.rebuild.request.stream == event.stream:
                self.rebuild = None

    @on(RecordsRead)
    def records_read(self, event: RecordsRead, now: Instant) -> None:
        """Gives a read to the rebuild in progress."""
        rebuild = self.rebuild
        if rebuild is None:
            return
        before = rebuild.request
        rebuild.handle_read(event)
        if rebuild.is_finished:
            self.rebuild = None
            self.finish(rebuild, now)
        elif rebuild.request != before:
            self.progress_at = now
            self.read_next()

    def finish(self, rebuild: Rebuild, now: Instant) -> None:
        """Takes the rebuilt configuration over."""
        state = rebuild.state
        if rebuild.phase is Phase.LOST:
            log.warning(
                'configuration cannot be rebuilt: %s', rebuild.loss_reason
            )
            self.kernel.decide('rebuild-failed', refused=rebuild.refused)
            return
        configuration = self.kernel.service('configuration')
        own = configuration.digest
        adopted = configuration.adopt(state, now)
        if adopted:
            self.verified = state.version
        self.kernel.decide(
            'rebuilt',
            version=state.version,
            offset=state.next_offset,
            refused=rebuild.refused,
            adopted=adopted,
            equal=own == state.digest,
        )
