"""Writing of configuration snapshots before retention drops records.

The live host that rendezvous hashing selects writes a snapshot when it takes
the duty over, then after `SNAPSHOT_RECORDS` records or `SNAPSHOT_AGE_S`,
whichever comes first. The age also holds without a change, because retention
by age drops old snapshots too.
"""

import logging

from teaselcove import messages, parts
from teaselcove.effects import Append
from teaselcove.events import AppendFinished
from teaselcove.fold import State
from teaselcove.ids import AppendId, HostId, Instant, Offset
from teaselcove.kernel import Kernel, on, services
from teaselcove.placement import rendezvous_score

log = logging.getLogger(__name__)

SUBJECT = 'snapshots'
CHECK_INTERVAL_S = 5

# The log's retention must keep at least twice these, so that a snapshot is
# written while the records before it are still there.
SNAPSHOT_RECORDS = 200
SNAPSHOT_AGE_S = 600

# An append without a result after this time is done again.
APPEND_TIMEOUT_S = 5


class Writing:
    """A snapshot that is being written, part by part.

    Attributes:
        payloads: The records of the parts that are not written yet.
        next_offset: Offset up to which the snapshot covers the log.
        append_id: The append in progress.
        started_at: When that append was started.
    """

    def __init__(self, state: State, now: Instant) -> None:
        self.payloads = [
            messages.encode(part) for part in parts.split_into_parts(state)
        ]
        self.next_offset = state.next_offset
        self.version = state.version
        self.append_id = AppendId('')
        self.started_at = now


@services.register('snapshots')
class Snapshots:
    """Writes snapshots while this host has the duty.

    Attributes:
        on_duty: Whether the host had the duty at the last check.
        written_at: When it last finished a snapshot on this duty, or None.
        written_offset: Offset up to which that snapshot covers the log.
        writing: The snapshot in progress, or None.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.on_duty = False
        self.written_at: Instant | None = None
        self.written_offset = Offset(0)
        self.writing: Writing | None = None
        self.appends = 0

    def start(self, now: Instant) -> None:
        """Starts to check the duty at intervals."""
        self.kernel.call_at(Instant(now + CHECK_INTERVAL_S), self.check)

    def holder(self, now: Instant) -> HostId | None:
        """Returns the live host that has the duty, or None."""
        hosts = [
            entry.host
            for entry in self.kernel.service('membership').usable_hosts(now)
        ]
        return max(
            hosts,
            key=lambda host: rendezvous_score(SUBJECT, host),
            default=None,
        )

    def check(self, now: Instant) -> None:
        """Writes a snapshot if this host has the duty and one is due."""
        self.kernel.call_at(Instant(now + CHECK_INTERVAL_S), self.check)
        held_before = self.on_duty
        self.on_duty = self.holder(now) == self.kernel.settings.host
        if not self.on_duty:
            self.written_at = None
            self.writing = None
        elif self.writing is not None:
            if now - self.writing.started_at > APPEND_TIMEOUT_S:
                self.append_next(now)
        elif held_before and self.is_due(now):
            state = self.kernel.service('configuration').state
            self.writing = Writing(state, now)
            self.append_next(now)

    def is_due(self, now: Instant) -> bool:
        """Returns whether a new snapshot is needed."""
        state = self.kernel.service('configuration').state
        if not state.version:
            return False
        if self.written_at is None:
            return True
        records = state.next_offset - self.written_offset
        age = now - self.written_at
        return records >= SNAPSHOT_RECORDS or age >= SNAPSHOT_AGE_S

    def append_next(self, now: Instant) -> None:
        """Appends the next part."""
        writing = self.writing
        self.appends += 1
        incarnation = self.kernel.service('membership').incarnation
        writing.append_id = AppendId(f'snapshot-{incarnation}-{self.appends}')
        writing.started_at = now
        self.kernel.emit(
            Append(writing.append_id, parts.STREAM, writing.payloads[0])
        )

    @on(AppendFinished)
    def append_finished(self, event: AppendFinished, now: Instant) -> None:
        """Goes on with the next part; a part without result is repeated."""
        writing = self.writing
        if writing is None or event.append_id != writing.append_id:
            return
        if event.offset is None:
            return
        writing.payloads.pop(0)
        if writing.payloads:
            self.append_next(now)
            return
        self.writing = None
        self.written_at = now
        self.written_offset = writing.next_offset
        self.kernel.decide(
            'snapshot', version=writing.version, offset=writing.next_offset
        )
