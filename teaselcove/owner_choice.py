"""Choice of the owner that a host asks for tokens."""

from teaselcove.accounts import Owner
from teaselcove.entities import Organisation
from teaselcove.ids import HostId, Instant
from teaselcove.kernel import Kernel
from teaselcove.placement import rendezvous_score
from teaselcove.shares import share_of
from teaselcove.slices import SliceOwner, slice_of

# An owner that did not answer is left out for this long.
UNREACHABLE_S = 1.0


class OwnerChoice:
    """Chooses near owners first and avoids those that do not answer.

    Attributes:
        avoided: Until when an owner that did not answer is left out.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.avoided: dict[HostId, Instant] = {}

    def avoid(self, host: HostId, now: Instant) -> None:
        """Notes that an owner did not answer."""
        self.avoided[host] = Instant(now + UNREACHABLE_S)

    def heard(self, host: HostId) -> None:
        """Notes that an owner answered."""
        self.avoided.pop(host, None)

    def clear(self) -> None:
        """Forgets which owners did not answer."""
        self.avoided.clear()

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
            tried: Owners that were asked in this round.
            answered: Whether an owner answered in this round. If not, and
                all owners are avoided, they are asked nevertheless.
            now: Present time.
        """
        others = self.other_owners(declared)
        reachable = [
            slice_owner
            for slice_owner in others
            if self.avoided.get(slice_owner.host, 0) <= now
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
        """Returns the owners at other hosts that have a share."""
        owners = self.kernel.service('ownership').owners(slice_of(declared.id))
        return [
            slice_owner
            for slice_owner in owners
            if slice_owner.host != self.kernel.settings.host
            and slice_owner.incarnation
            and share_of(declared, slice_owner.index).capacity
        ]

    def distance(self, slice_owner: SliceOwner) -> tuple[bool, int]:
        """Returns the rank of an owner for this host; lowest is first."""
        settings = self.kernel.settings
        entry = self.kernel.service('membership').hosts.get(slice_owner.host)
        is_far = entry is None or entry.zone != settings.zone
        return is_far, rendezvous_score(settings.host, slice_owner.host)
