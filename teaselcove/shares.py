"""Split of an organisation's rate and burst among its owners."""

import msgspec

from teaselcove.entities import Organisation
from teaselcove.slices import OWNER_COUNT, slice_of

# Smaller bursts are assigned to a single owner. If split in three, an owner
# whose small bucket is full wastes its rate: with a burst of 4, at a load of
# 0.7 of the rate, the split wrongly refuses 5% of the requests and a single
# owner 1%. With a burst of 20, the split refuses none.
MIN_SPLIT_BURST = 20


class Share(msgspec.Struct, frozen=True):
    """Rate and capacity that one owner may use.

    Attributes:
        rate: Tokens per second.
        capacity: Maximum sum of unspent and granted tokens.
    """

    rate: float = 0
    capacity: int = 0


def holder_count(organisation: Organisation) -> int:
    """Returns the number of owners that share the burst."""
    return OWNER_COUNT if organisation.burst >= MIN_SPLIT_BURST else 1


def share_of(organisation: Organisation, index: int) -> Share:
    """Returns the share of the owner with the given index.

    The burst is split into whole tokens and the rate into equal parts. If
    the rate were split in proportion to the tokens, each change of the burst
    would move rate between owners, and owners with different configuration
    versions could together exceed the rate.
    """
    place = (index + slice_of(organisation.id)) % OWNER_COUNT
    holders = holder_count(organisation)
    if place >= holders or organisation.burst < 1:
        return Share()
    capacity = (organisation.burst + holders - 1 - place) // holders
    return Share(organisation.rate / holders, capacity)
