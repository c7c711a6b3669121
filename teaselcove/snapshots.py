"""Writes configuration snapshots before retention drops records.

Rendezvous hashing elects one live host as the writer. It writes a snapshot
after it is elected, then after `SNAPSHOT_RECORDS` records or `SNAPSHOT_AGE_S`,
whichever comes first. The age also applies without a change, because retention
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

RENDEZVOUS_SUBJECT = 'snapshots'
CHECK_INTERVAL_S = 5

# The log's retention must keep at least twice as many records and twice this
# age, so that a snapshot is written before the records it covers are dropped.
SNAPSHOT_RECORDS = 200
SNAPSHOT_AGE_S = 600

# Seconds after which an append without a result is repeated.
APPEND_TIMEOUT_S = 5


class SnapshotWrite:
    """A snapshot that is being written, part by part.

    Attributes:
        payloads: Encoded parts that are not written yet.
        next_offset: Offset up to which the snapshot covers the log.
        append_id: The append in progress.
        started_at: When that append started.
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
    """Writes snapshots while this host is the elected writer.

    Attributes:
        is_writer: Whether the host was the elected writer at the last check.
        written_at: When it last finished a snapshot since its election, or
            None.
        written_offset: Offset up to which that snapshot covers the log.
        current_write: The snapshot in progress, or None.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.is_writer = False
        self.written_at: Instant | None = None
        self.written_offset = Offset(0)
        self.current_write: SnapshotWrite | None = None
        self.append_count = 0

    def start(self, now: Instant) -> None:
        """Starts checking at regular intervals whether a snapshot is due."""
        self.kernel.call_at(Instant(now + CHECK_INTERVAL_S), self.check)

    def elected_writer(self, now: Instant) -> HostId | None:
        """Returns the live host that writes snapshots, or None."""
        hosts = [
            entry.host
            for entry in self.kernel.service('membership').usable_hosts(now)
        ]
        return max(
            hosts,
            key=lambda host: rendezvous_score(RENDEZVOUS_SUBJECT, host),
            default=None,
        )

    def check(self, now: Instant) -> None:
        """Writes a snapshot if this host is the writer and one is due."""
        self.kernel.call_at(Instant(now + CHECK_INTERVAL_S), self.check)
        was_writer = self.is_writer
        self.is_writer = self.elected_writer(now) == self.kernel.settings.host
        if not self.is_writer:
            self.written_at = None
            self.current_write = None
        elif self.current_write is not None:
            if now - self.current_write.started_at > APPEND_TIMEOUT_S:
                self.append_next(now)
        elif was_writer and self.is_due(now):
            state = self.kernel.service('configuration').state
            self.current_write = SnapshotWrite(state, now)
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
        """Appends the next part to the log."""
        write = self.current_write
        self.append_count += 1
        incarnation = self.kernel.service('membership').incarnation
        write.append_id = AppendId(
            f'snapshot-{incarnation}-{self.append_count}'
        )
        write.started_at = now
        self.kernel.emit(
            Append(write.append_id, parts.STREAM, write.payloads[0])
        )

    @on(AppendFinished)
    def append_finished(self, event: AppendFinished, now: Instant) -> None:
        """Continues with the next part; `check` repeats a failed append."""
        write = self.current_write
        if write is None or event.append_id != write.append_id:
            return
        if event.offset is None:
            return
        write.payloads.pop(0)
        if write.payloads:
            self.append_next(now)
            return
        self.current_write = None
        self.written_at = now
        self.written_offset = write.next_offset
        self.kernel.decide(
            'snapshot', version=write.version, offset=write.next_offset
        )
