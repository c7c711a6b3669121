"""Tests of a store that comes back from an older copy of itself."""

import pytest

from teaselcove.ids import Era, Instant
from tests.ingress_support import make_kernel


class TestEra:
    """The era of the store that a host has heard of."""

    def test_restoration_is_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against records whose era cannot be told afterwards."""
        caplog.set_level('INFO')
        era = make_kernel().service('store-era')
        assert not era.observe(Era(3), Instant(1))
        assert not era.observe(Era(3), Instant(2))
        assert era.observe(Era(4), Instant(3), 'host-2')
        assert not era.observe(Era(3), Instant(4))
        assert (era.current, era.restored_at) == (4, 3)
        restored = [item for item in caplog.records if item.msg != 'start']
        assert [item.msg for item in restored] == ['store-restored']
        assert restored[0].figures['peer'] == 'host-2'
