"""Split of the rate and burst of an organisation over its owners."""

import msgspec

from teaselcove.entities import Organisation
from teaselcove.slices import OWNER_COUNT, slice_of


class Share(msgspec.Struct, frozen=True):
    """What one owner may spend.

    Attributes:
        rate: Tokens per second.
        capacity: Most tokens that may be unspent or granted at once.
    """

    rate: float = 0
    capacity: int = 0


def share_of(organisation: Organisation, index: int) -> Share:
    """Returns the share of an owner by its index.

    The burst is split in whole tokens. Owners with a token share the rate
    equally: a split in proportion to the tokens would shift rate between
    owners when the burst changes, and owners that do not have the same
    configuration version yet would together exceed the rate.
    """
    place = (index + slice_of(organisation.id)) % OWNER_COUNT
    capacity = (organisation.burst + OWNER_COUNT - 1 - place) // OWNER_COUNT
    if capacity < 1:
        return Share()
    holders = min(organisation.burst, OWNER_COUNT)
    return Share(organisation.rate / holders, capacity)
