"""Relay of configuration changes between hosts, by version and digest."""

import logging
from collections import deque

import msgspec

from teaselcove.configuration import Configuration
from teaselcove.effects import Send
from teaselcove.events import HostsListed
from teaselcove.fold import RecordResult, SkipCounts
from teaselcove.ids import HostId, Instant, Offset, Version
from teaselcove.kernel import Kernel, on, services
from teaselcove.membership import Heartbeat
from teaselcove.messages import message

log = logging.getLogger(__name__)

# Records kept for hosts that are behind. A host further behind gets the whole
# configuration in parts.
MAX_KEPT_RECORDS = 256
MAX_KEPT_BYTES = 1024 * 1024

# Once this many bytes are exceeded, no more records are sent to a host in one
# batch.
MAX_SENT_BYTES = 256 * 1024

# How many times the latest change is pushed to the peers, because a peer may
# receive from this host without being able to send requests to it. Larger
# records are sent on request only, which bounds the traffic of a change.
PUSH_ROUNDS = 3
MAX_PUSH_BYTES = 16 * 1024

# Seconds between pushes, and between the requests of a host that is behind to
# all its peers. The requests contain the highest known version, so the peers
# learn of it even if no host can send it to them.
ROUND_INTERVAL_S = 1


@message('winning-record')
class WinningRecord(msgspec.Struct, frozen=True):
    """A record that created a version, with the state after it.

    Attributes:
        skipped: Numbers of earlier records that did not win.
    """

    version: Version
    offset: Offset
    digest: int
    skipped: SkipCounts
    payload: bytes


@message('records-wanted')
class RecordsWanted(msgspec.Struct, frozen=True):
    """Requests the records after a version.

    Attributes:
        version: Version of the sender.
        known: Highest version known to the sender.
    """

    version: Version
    known: Version


@services.register('relay')
class Relay:
    """Sends changes to hosts that are behind and receives them from others.

    Attributes:
        records: The latest winning records, oldest first.
        kept_bytes: Total size of their payloads.
        peer_versions: Version of each host in its latest heartbeat.
        push_rounds_left: How many more times the latest records are pushed.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.push_rounds_left = 0
        self.records: deque[WinningRecord] = deque()
        self.kept_bytes = 0
        self.peer_versions: dict[HostId, Version] = {}

    def start(self, now: Instant) -> None:
        """Starts sending requests at regular intervals while behind."""
        self.request_from_peers(now)

    def request_from_peers(self, now: Instant) -> None:
        """Requests records from all peers while a newer version is known."""
        if self.configuration.newer.versions:
            for host in self.peers():
                self.request_records(host, now)
        self.kernel.call_at(
            Instant(now + ROUND_INTERVAL_S), self.request_from_peers
        )

    @property
    def configuration(self) -> Configuration:
        """The service that holds the current configuration."""
        return self.kernel.service('configuration')

    def keep_record(self, offset: Offset, payload: bytes, now: Instant) -> None:
        """Keeps a winning record and schedules pushes of it if it is small."""
        state = self.configuration.state
        record = WinningRecord(
            state.version,
            offset,
            state.digest,
            msgspec.structs.replace(state.skipped),
            payload,
        )
        self.records.append(record)
        self.kept_bytes += len(payload)
        while len(self.records) > MAX_KEPT_RECORDS or (
            self.kept_bytes > MAX_KEPT_BYTES and len(self.records) > 1
        ):
            self.kept_bytes -= len(self.records.popleft().payload)
        if len(payload) <= MAX_PUSH_BYTES:
            if not self.push_rounds_left:
                self.schedule_push(now)
            self.push_rounds_left = PUSH_ROUNDS

    def clear_records(self) -> None:
        """Removes the kept records when the configuration is replaced."""
        self.records.clear()
        self.kept_bytes = 0

    def schedule_push(self, now: Instant) -> None:
        """Schedules the next push."""
        at = Instant(now + ROUND_INTERVAL_S)
        self.kernel.call_at(at, self.push_records)

    def push_records(self, now: Instant) -> None:
        """Sends the latest records to hosts not known to have this version."""
        self.push_rounds_left -= 1
        if self.push_rounds_left:
            self.schedule_push(now)
        version = self.configuration.version
        for host in self.peers():
            peer_version = self.peer_versions.get(host)
            if peer_version is None:
                self.send_records(host, Version(version - 1))
            elif peer_version < version:
                self.send_records(host, peer_version)

    def peers(self) -> list[HostId]:
        """Returns the hosts to which this host sends heartbeats."""
        return self.kernel.service('membership').peers

    def send_records(self, host: HostId, version: Version) -> bool:
        """Sends the records after a version.

        Returns:
            Whether the first of them is still kept.
        """
        if not self.records or self.records[0].version > version + 1:
            return False
        sent_bytes = 0
        for record in self.records:
            if record.version > version and sent_bytes <= MAX_SENT_BYTES:
                self.kernel.emit(Send(host, record))
                sent_bytes += len(record.payload)
        return True

    @on(Heartbeat)
    def handle_heartbeat(
        self, sender: HostId, heartbeat: Heartbeat, now: Instant
    ) -> None:
        """Compares the version and digest of a peer with the local ones."""
        local_version = self.configuration.version
        self.peer_versions[sender] = heartbeat.version
        if heartbeat.version > local_version:
            self.configuration.record_version(heartbeat.version, now)
            self.request_records(sender, now)
        elif heartbeat.version < local_version:
            self.send_records(sender, heartbeat.version)
        elif heartbeat.digest != self.configuration.digest:
            self.handle_mismatch(sender, heartbeat, now)

    @on(HostsListed)
    def hosts_listed(self, event: HostsListed, now: Instant) -> None:
        """Removes the versions of hosts that are no longer listed."""
        listed = {entry.host for entry in event.hosts}
        for removed in set(self.peer_versions) - listed:
            self.peer_versions.pop(removed)

    def request_records(self, host: HostId, now: Instant) -> None:
        """Requests the records after the local version from a host."""
        if self.kernel.service('transfers').is_running(now):
            return
        configuration = self.configuration
        version = configuration.version
        known = configuration.newer.highest(version)
        wanted = RecordsWanted(version, known)
        self.kernel.emit(Send(host, wanted))

    def handle_mismatch(
        self, sender: HostId, heartbeat: Heartbeat, now: Instant
    ) -> None:
        """Starts a check of the local content against the log."""
        self.kernel.decide(
            'digest-mismatch',
            peer=sender,
            version=heartbeat.version,
            digest=f'{self.configuration.digest:x}',
            peer_digest=f'{heartbeat.digest:x}',
        )
        self.kernel.service('recovery').verify(now)

    @on(RecordsWanted)
    def records_wanted(
        self, sender: HostId, wanted: RecordsWanted, now: Instant
    ) -> None:
        """Sends the missing records, or the first part of a whole transfer."""
        configuration = self.configuration
        configuration.record_version(wanted.known, now)
        if wanted.version >= configuration.version:
            return
        if not self.send_records(sender, wanted.version):
            self.kernel.service('transfers').send_part(sender, 0)

    @on(WinningRecord)
    def record_arrived(
        self, sender: HostId, record: WinningRecord, now: Instant
    ) -> None:
        """Folds a record that has won on a peer.

        None of the records between the local offset and that of the winning
        record has won, so folding continues after the winning record.
        """
        configuration = self.configuration
        configuration.record_version(record.version, now)
        if record.version != configuration.version + 1:
            return
        if self.fold_relayed(record, now):
            configuration.publish_version(now)
        else:
            self.handle_divergence(sender, record, now)

    def fold_relayed(self, record: WinningRecord, now: Instant) -> bool:
        """Folds a relayed record; one that does not win changes nothing.

        Returns:
            Whether the record won and led to the same digest as on the peer.
        """
        state = self.configuration.state
        next_offset = state.next_offset
        skipped = state.skipped
        if record.offset < next_offset:
            return False
        state.skipped = msgspec.structs.replace(record.skipped)
        fate = self.configuration.fold_record(
            record.offset, record.payload, now
        )
        if fate is not RecordResult.WON:
            state.next_offset = next_offset
            state.skipped = skipped
            return False
        return state.digest == record.digest

    def handle_divergence(
        self, sender: HostId, record: WinningRecord, now: Instant
    ) -> None:
        """Starts a rebuild after a record that contradicts the local state."""
        self.kernel.decide(
            'record-mismatch',
            peer=sender,
            version=record.version,
            offset=record.offset,
        )
        self.kernel.service('recovery').start_rebuild('record', now)
