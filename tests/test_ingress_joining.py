"""Tests of a host that has just started beside others."""

import asyncio

import pytest

from teaselcove.errors import Reason
from teaselcove.ids import Instant, Version
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import KeyedRecord, RecordPage
from teaselcove.ingress.freshness import Freshness
from teaselcove.ingress.members import SETTLE_S
from teaselcove.ingress.registration import Registration
from teaselcove.kernel import Kernel
from teaselcove.platform import hosts
from tests.ingress_support import (
    KEY,
    arrival,
    configuration,
    host_record,
    make_kernel,
)
from tests.test_ingress_freshness import DiscardingGossip

OWN = host_record('host-1')
OTHER = host_record('host-2')
# A store that came back from a copy has this version; other hosts have the next
# one, which withdraws a key.
OLD_VERSION = Version(12)


class RestoredStore:
    """A store that has gone back to an older copy.

    Attributes:
        host_records: Records of hosts that the copy holds.
    """

    def __init__(self, *host_records: KeyedRecord) -> None:
        self.host_records = host_records

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Returns the old version, or the hosts."""
        records = self.host_records
        if topic != hosts.TOPIC:
            old = configuration(OLD_VERSION)
            records = (KeyedRecord('config', old, 0),)
        return RecordPage(tuple(records), 1, asked_at)

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Finds nothing new."""
        return RecordPage((), offset, asked_at)


def joining_kernel(since: float) -> Kernel:
    """Returns the kernel of a host that started some seconds ago."""
    kernel = make_kernel()
    started_at = Instant(boot_time() - since)
    kernel.service('members').start(OWN, started_at, joining=True)
    return kernel


def read(kernel: Kernel) -> None:
    """Reads the configuration, as a host does at its start and later on."""
    reader = Freshness(kernel, RestoredStore(), DiscardingGossip())
    asyncio.run(reader.read_configuration())


def hear(kernel: Kernel, version: Version) -> None:
    """Receives the first heartbeat of another host, which has a version."""
    kernel.service('members').record_heartbeat(
        OTHER, False, False, (), boot_time()
    )
    kernel.service('catalog').record_version(version, OTHER.host)


def accepts_key(kernel: Kernel) -> bool:
    """Returns whether a request with a key would be served."""
    refusal = kernel.service('catalog').key_rejection(KEY, boot_time())
    assert refusal in {None, Reason.ISOLATED}
    return refusal is None


class TestWithdrawnKey:
    """A key that was withdrawn by a version that the store has lost."""

    def test_before_others_are_heard(self) -> None:
        """Guards against requests with it just after the start."""
        kernel = joining_kernel(since=0)
        read(kernel)
        assert not accepts_key(kernel)
        request = arrival()
        assert kernel.service('acceptance').needs_confirmation(
            request, boot_time()
        )

    def test_others_have_a_newer_version(self) -> None:
        """Guards against a store that confirms what others know better."""
        kernel = joining_kernel(since=0)
        read(kernel)
        hear(kernel, Version(OLD_VERSION + 1))
        read(kernel)
        assert not accepts_key(kernel)

    @pytest.mark.parametrize('version', [OLD_VERSION, OLD_VERSION - 1])
    def test_others_know_no_more(self, version: Version) -> None:
        """Guards against a host that refuses keys without a reason."""
        kernel = joining_kernel(since=0)
        read(kernel)
        hear(kernel, version)
        read(kernel)
        assert accepts_key(kernel)

    def test_nobody_is_heard(self) -> None:
        """Guards against a host that waits for others for ever."""
        kernel = joining_kernel(since=SETTLE_S)
        read(kernel)
        assert accepts_key(kernel)

    def test_only_host(self) -> None:
        """Guards against a wait where there is no other host."""
        kernel = joining_kernel(since=0)
        registration = Registration(kernel, RestoredStore(), OWN)
        asyncio.run(registration.load_hosts())
        read(kernel)
        assert accepts_key(kernel)

    def test_other_hosts_in_the_store(self) -> None:
        """Guards against the end of the wait as soon as hosts are known."""
        kernel = joining_kernel(since=0)
        record = KeyedRecord(OTHER.host, hosts.encode_host(OTHER), 0)
        registration = Registration(kernel, RestoredStore(record), OWN)
        asyncio.run(registration.load_hosts())
        read(kernel)
        assert not accepts_key(kernel)


class TestShares:
    """Rates of organisations after all hosts were started again."""

    def test_no_token_before_others_are_heard(self) -> None:
        """Guards against tokens that the processes before have just spent."""
        kernel = joining_kernel(since=0)
        read(kernel)
        acceptance = kernel.service('acceptance')
        refusal = acceptance.accept(arrival(), boot_time())
        assert refusal.reason is Reason.ISOLATED
        assert not kernel.service('quotas').buckets
        hear(kernel, OLD_VERSION)
        read(kernel)
        call = acceptance.accept(arrival(), boot_time())
        assert call.organisation.id in kernel.service('quotas').buckets
