"""Transfer of a whole configuration from a peer, part by part.

A host needs it if it is further behind than the records that its peers keep,
typically when it starts while the log is unavailable.
"""

import msgspec

from teaselcove.configuration import Configuration
from teaselcove.effects import Send
from teaselcove.ids import HostId, Instant
from teaselcove.kernel import Kernel, on, services
from teaselcove.messages import message
from teaselcove.parts import Assembly, Part, SnapshotId, build_part

# Seconds without a new part after which another host may take over a transfer.
TRANSFER_TIMEOUT_S = 2
TRANSFER_RETRY_S = 0.5


@message('part-wanted')
class PartWanted(msgspec.Struct, frozen=True):
    """Requests a part of the configuration of a peer."""

    snapshot: SnapshotId
    index: int


class Transfer(msgspec.Struct):
    """A configuration that is being received in parts from a peer."""

    sender: HostId
    snapshot: SnapshotId
    assembly: Assembly
    last_progress_at: Instant


@services.register('transfers')
class Transfers:
    """Sends parts to peers and receives parts from one peer at a time.

    Attributes:
        transfer: The transfer in progress, or None.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.transfer: Transfer | None = None

    @property
    def configuration(self) -> Configuration:
        """The service that holds the current configuration."""
        return self.kernel.service('configuration')

    def send_part(self, host: HostId, index: int) -> None:
        """Sends a part of the current configuration."""
        part = build_part(self.configuration.state, index)
        if part is not None:
            self.kernel.emit(Send(host, part))

    @on(PartWanted)
    def part_wanted(
        self, sender: HostId, wanted: PartWanted, now: Instant
    ) -> None:
        """Sends a part, or the first one if the configuration has changed."""
        part = build_part(self.configuration.state, wanted.index)
        if part is not None and part.snapshot == wanted.snapshot:
            self.kernel.emit(Send(sender, part))
        else:
            self.send_part(sender, 0)

    def is_running(self, now: Instant) -> bool:
        """Returns whether a transfer is making progress."""
        if self.transfer is None:
            return False
        return now - self.transfer.last_progress_at < TRANSFER_TIMEOUT_S

    @on(Part)
    def part_arrived(self, sender: HostId, part: Part, now: Instant) -> None:
        """Adds a received part to its transfer, unless it is outdated."""
        if part.snapshot.version <= self.configuration.version:
            return
        transfer = self.transfer
        if transfer is None or transfer.snapshot != part.snapshot:
            same_sender = transfer is not None and transfer.sender == sender
            if self.is_running(now) and not same_sender:
                return
            transfer = Transfer(sender, part.snapshot, Assembly(), now)
            self.transfer = transfer
        transfer.sender = sender
        transfer.assembly.add(part)
        transfer.last_progress_at = now
        self.continue_transfer(transfer, now)

    def continue_transfer(self, transfer: Transfer, now: Instant) -> None:
        """Requests the next part, or adopts the complete configuration."""
        missing = transfer.assembly.first_missing(transfer.snapshot)
        if missing is None:
            self.transfer = None
            state = transfer.assembly.newest_complete()
            if state is not None:
                self.configuration.adopt(state, now)
            return
        wanted = PartWanted(transfer.snapshot, missing)
        self.kernel.emit(Send(transfer.sender, wanted))
        self.kernel.call_at(
            Instant(now + TRANSFER_RETRY_S),
            lambda later: self.retry_part(transfer, missing, later),
        )

    def retry_part(self, transfer: Transfer, index: int, now: Instant) -> None:
        """Repeats the request for a part that has not arrived."""
        if self.transfer is not transfer or not self.is_running(now):
            return
        if transfer.assembly.first_missing(transfer.snapshot) == index:
            wanted = PartWanted(transfer.snapshot, index)
            self.kernel.emit(Send(transfer.sender, wanted))
