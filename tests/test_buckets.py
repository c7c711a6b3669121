"""Tests of the token bucket of an owner."""

import pytest

from teaselcove.buckets import GrantKey, OwnerBucket, OwnerShare
from teaselcove.shares import Share

KEY = GrantKey('host-2', 2, 1)


def make_bucket(rate: float = 1, capacity: int = 4) -> OwnerBucket:
    """Returns a bucket that is full at time 10."""
    bucket = OwnerBucket(0)
    bucket.update([OwnerShare(0, 1, Share(rate, capacity), 0)], 10)
    return bucket


class TestOwnerBucket:
    """Level and outstanding grants share the capacity."""

    def test_grant_limits_refill(self) -> None:
        """Guards against refilling while granted tokens may still be used."""
        bucket = make_bucket()
        assert bucket.grant(KEY, 4, 4, 10) == 4
        bucket.advance(11)
        assert bucket.level == 0

    def test_expiry_does_not_refill_the_past(self) -> None:
        """Guards against earning tokens for the time before a grant expired."""
        bucket = make_bucket()
        bucket.grant(KEY, 4, 4, 10)
        bucket.advance(12.1)
        assert bucket.level == pytest.approx(1)

    def test_repeated_request(self) -> None:
        """Guards against a second debit for a repeated message."""
        bucket = make_bucket()
        assert bucket.grant(KEY, 1, 1, 10) == 1
        assert bucket.grant(KEY, 1, 1, 10) == 1
        assert bucket.level == 3

    @pytest.mark.parametrize(
        ('returned', 'level'), [(2, 4), (9, 4), (-1, 2), (0, 2)]
    )
    def test_settlement(self, returned: float, level: float) -> None:
        """Guards against a settlement that creates tokens."""
        bucket = make_bucket()
        bucket.grant(KEY, 2, 2, 10)
        bucket.settle(KEY, returned, 10)
        bucket.settle(KEY, returned, 10)
        assert bucket.level == level

    def test_late_settlement(self) -> None:
        """Guards against returning tokens after the grant has expired."""
        bucket = make_bucket()
        assert bucket.grant(KEY, 4, 4, 10) == 4
        bucket.settle(KEY, 4, 11.2)
        assert bucket.level == pytest.approx(0.1)

    def test_place_lost_and_regained(self) -> None:
        """Guards against earning tokens while another host owned the place."""
        bucket = make_bucket()
        bucket.update([OwnerShare(0, 3, Share(1, 4), 20)], 21)
        assert bucket.level == pytest.approx(1)

    def test_no_rate(self) -> None:
        """Guards against a division by zero after a change of the rate to 0."""
        assert make_bucket(rate=0).assign_retry_delay(10) > 0

    def test_part_is_not_granted(self) -> None:
        """Guards against granting a fraction that the host cannot use."""
        bucket = make_bucket(capacity=1)
        bucket.spend(0.5)
        assert bucket.grant_whole(KEY, 1, 1, 10) == 0
        assert bucket.grant(KEY, 1, 1, 10) == pytest.approx(0.5)
