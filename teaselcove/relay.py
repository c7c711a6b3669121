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

# Records kept for hosts that are behind; a host further behind gets the whole
# configuration in parts.
KEPT_RECORDS = 256
KEPT_BYTES = 1024 * 1024

# Bytes of records sent to one host at a time.
SENT_BYTES = 256 * 1024

# How often the peers get the latest change without asking, in case they hear
# this host but are not heard. Larger records are sent only on request, which
# bounds the traffic of a change.
UNASKED_ROUNDS = 3
UNASKED_BYTES = 16 * 1024

# A host that is behind tells all its peers at this interval, so that they
# learn of the later version even if nobody can send it to them.
ROUND_INTERVAL_S = 1


@message('winning-record')
class WinningRecord(msgspec.Struct, frozen=True):
    """A record that created a version, with the state after it.

    Attributes:
        skipped: Counts of the records before it that did not win.
    """

    version: Version
    offset: Offset
    digest: int
    skipped: SkipCounts
    payload: bytes


@message('records-wanted')
class RecordsWanted(msgspec.Struct, frozen=True):
    """Asks for the records after a version.

    Attributes:
        version: Version of the sender.
        known: Highest version that the sender knows of.
    """

    version: Version
    known: Version


@services.register('relay')
class Relay:
    """Sends changes to hosts that are behind and takes them from others.

    Attributes:
        records: The latest winning records, oldest first.
        kept_bytes: Their size.
        peer_versions: Version of each host by its latest heartbeat.
        rounds_left: How often the latest records are still sent unasked.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.rounds_left = 0
        self.records: deque[WinningRecord] = deque()
        self.kept_bytes = 0
        self.peer_versions: dict[HostId, Version] = {}

    def start(self, now: Instant) -> None:
        """Starts to tell the peers at intervals if the host is behind."""
        self.ask_peers(now)

    def ask_peers(self, now: Instant) -> None:
        """Asks all peers for records while a later version is known."""
        if self.configuration.newer.known:
            for host in self.peers():
                self.ask(host, now)
        self.kernel.call_at(Instant(now + ROUND_INTERVAL_S), self.ask_peers)

    @property
    def configuration(self) -> Configuration:
        """The service that holds the configuration in force."""
        return self.kernel.service('configuration')

    def note_winner(self, offset: Offset, payload: bytes, now: Instant) -> None:
        """Keeps a record that won, and sends it to some hosts later."""
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
        while len(self.records) > KEPT_RECORDS or (
            self.kept_bytes > KEPT_BYTES and len(self.records) > 1
        ):
            self.kept_bytes -= len(self.records.popleft().payload)
        if len(payload) <= UNASKED_BYTES:
            if not self.rounds_left:
                self.call_unasked(now)
            self.rounds_left = UNASKED_ROUNDS

    def forget_records(self) -> None:
        """Forgets the kept records when the configuration is replaced."""
        self.records.clear()
        self.kept_bytes = 0

    def call_unasked(self, now: Instant) -> None:
        """Waits for the next round of sending unasked."""
        at = Instant(now + ROUND_INTERVAL_S)
        self.kernel.call_at(at, self.send_unasked)

    def send_unasked(self, now: Instant) -> None:
        """Sends the latest records to hosts not heard at this version."""
        self.rounds_left -= 1
        if self.rounds_left:
            self.call_unasked(now)
        version = self.configuration.version
        for host in self.peers():
            heard = self.peer_versions.get(host)
            if heard is None:
                self.send_records(host, Version(version - 1))
            elif heard < version:
                self.send_records(host, heard)

    def peers(self) -> list[HostId]:
        """Returns the hosts that get the heartbeats of this host."""
        return self.kernel.service('membership').peers

    def send_records(self, host: HostId, version: Version) -> bool:
        """Sends the kept records after a version.

        Returns:
            Whether the first of them is still kept.
        """
        if not self.records or self.records[0].version > version + 1:
            return False
        sent = 0
        for record in self.records:
            if record.version > version and sent <= SENT_BYTES:
                self.kernel.emit(Send(host, record))
                sent += len(record.payload)
        return True

    @on(Heartbeat)
    def heartbeat(self, sender: HostId, beat: Heartbeat, now: Instant) -> None:
        """Compares a peer's configuration with the own one."""
        own = self.configuration.version
        self.peer_versions[sender] = beat.version
        if beat.version > own:
            self.configuration.note_version(beat.version, now)
            self.ask(sender, now)
        elif beat.version < own:
            self.send_records(sender, beat.version)
        elif beat.digest != self.configuration.digest:
            self.note_mismatch(sender, beat, now)

    @on(HostsListed)
    def hosts_listed(self, event: HostsListed, now: Instant) -> None:
        """Forgets the versions of hosts that are gone."""
        listed = {entry.host for entry in event.hosts}
        for gone in set(self.peer_versions) - listed:
            self.peer_versions.pop(gone)

    def ask(self, host: HostId, now: Instant) -> None:
        """Asks a host for the records after the own version."""
        if self.kernel.service('transfers').is_running(now):
            return
        configuration = self.configuration
        version = configuration.version
        known = configuration.newer.highest(version)
        wanted = RecordsWanted(version, known)
        self.kernel.emit(Send(host, wanted))

    def note_mismatch(
        self, sender: HostId, beat: Heartbeat, now: Instant
    ) -> None:
        """Has the own content checked against the log."""
        self.kernel.decide(
            'digest-mismatch',
            peer=sender,
            version=beat.version,
            digest=f'{self.configuration.digest:x}',
            peer_digest=f'{beat.digest:x}',
        )
        self.kernel.service('recovery').verify(now)

    @on(RecordsWanted)
    def records_wanted(
        self, sender: HostId, wanted: RecordsWanted, now: Instant
    ) -> None:
        """Sends the records that a peer lacks, or the first part of all."""
        configuration = self.configuration
        configuration.note_version(wanted.known, now)
        if wanted.version >= configuration.version:
            return
        if not self.send_records(sender, wanted.version):
            self.kernel.service('transfers').send_part(sender, 0)

    @on(WinningRecord)
    def record_arrived(
        self, sender: HostId, record: WinningRecord, now: Instant
    ) -> None:
        """Folds a record that a peer has found to be the winner.

        All records between the own place in the log and the offset of the
        winner have lost, so folding goes on after the winner.
        """
        configuration = self.configuration
        configuration.note_version(record.version, now)
        if record.version != configuration.version + 1:
            return
        if self.fold_relayed(record, now):
            configuration.announce(now)
        else:
            self.note_divergence(sender, record, now)

    def fold_relayed(self, record: WinningRecord, now: Instant) -> bool:
        """Folds a winner; a record that does not win changes nothing.

        Returns:
            Whether the record won and led to the content it had at the peer.
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

    def note_divergence(
        self, sender: HostId, record: WinningRecord, now: Instant
    ) -> None:
        """Has the configuration rebuilt that a peer's record contradicts."""
        self.kernel.decide(
            'record-mismatch',
            peer=sender,
            version=record.version,
            offset=record.offset,
        )
        self.kernel.service('recovery').begin('record', now)
