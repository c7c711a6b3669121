"""Selection of the owner that a host asks for tokens."""

from teaselcove.accounts import Owner
from teaselcove.entities import Organisation
from teaselcove.ids import HostId, Instant
from teaselcove.kernel import Kernel
from teaselcove.placement import rendezvous_score
from teaselcove.shares import share_of
from teaselcove.slices import SliceOwner, slice_of

# An owner that did not answer is skipped for this long.
UNREACHABLE_S = 1.0


class OwnerSelector:
    """Prefers owners in the same zone and skips unreachable ones.

    Attributes:
        skipped_until: Time until which an owner that did not answer is skipped.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.skipped_until: dict[HostId, Instant] = {}

    def mark_unreachable(self, host: HostId, now: Instant) -> None:
        """Skips an owner for a while because it did not answer."""
        self.skipped_until[host] = Instant(now + UNREACHABLE_S)

    def mark_reachable(self, host: HostId) -> None:
        """Stops skipping an owner because it answered."""
        self.skipped_until.pop(host, None)

    def clear(self) -> None:
        """Stops skipping any owner."""
        self.skipped_until.clear()

    def choose(
        self,
        declared: Organisation,
        tried: set[HostId],
        answered: bool,
        now: Instant,
    ) -> Owner | None:
        """Returns the owner to ask next, or None.

        Args:
            declared: The organisation that needs tokens.
            tried: Owners that are not asked again in this round.
            answered: Whether an owner answered in this round. If none did
                and all are marked unreachable, they are asked anyway.
            now: Current time.
        """
        others = self.other_owners(declared)
        reachable = [
            slice_owner
            for slice_owner in others
            if self.skipped_until.get(slice_owner.host, 0) <= now
        ]
        asked = reachable if answered or reachable else others
        best = min(
            (
                slice_owner
                for slice_owner in asked
                if slice_owner.host not in tried
            ),
            key=self.distance,
            default=None,
        )
        return best and Owner(best.host, best.incarnation)

    def other_owners(self, declared: Organisation) -> list[SliceOwner]:
        """Returns the owners on other hosts that have a share."""
        owners = self.kernel.service('ownership').owners(slice_of(declared.id))
        return [
            slice_owner
            for slice_owner in owners
            if slice_owner.host != self.kernel.settings.host
            and slice_owner.incarnation
            and share_of(declared, slice_owner.index).capacity
        ]

    def distance(self, slice_owner: SliceOwner) -> tuple[bool, int]:
        """Returns the sort key of an owner; same-zone owners come first."""
        settings = self.kernel.settings
        entry = self.kernel.service('membership').hosts.get(slice_owner.host)
        is_far = entry is None or entry.zone != settings.zone
        return is_far, rendezvous_score(settings.host, slice_owner.host)
