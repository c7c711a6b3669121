"""Records of the hosts in the store, by which they find each other."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from teaselcove.errors import (
    AppendUnknownError,
    CodecError,
    StoreUnavailableError,
)
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import HostRecord
from teaselcove.kernel import Kernel
from teaselcove.platform import hosts
from teaselcove.platform.store import StoreClient

log = logging.getLogger('teaselcove.host')

STORE_RETRY_S = 0.3
# Rate at which all hosts together register again, a quarter of what the store
# takes in writes.
REGISTRATIONS_PER_S = 100


class Registration:
    """Writes the record of this host and reads those of the others."""

    def __init__(
        self, kernel: Kernel, store: StoreClient, own: HostRecord
    ) -> None:
        self.kernel = kernel
        self.store = store
        self.own = own

    async def register(self) -> None:
        """Writes the host's record to the store."""
        record = hosts.encode_host(self.own)
        await self.retry(
            lambda: self.store.put(hosts.TOPIC, self.own.host, record)
        )

    async def register_again(self) -> None:
        """Registers the host in a restored store, which may have lost it."""
        count = self.kernel.service('members').host_count(boot_time())
        delay = self.kernel.random.random() * count / REGISTRATIONS_PER_S
        await asyncio.sleep(delay)
        await self.register()

    async def load_hosts(self) -> None:
        """Reads the records of the other hosts."""
        page = await self.retry(
            lambda: self.store.newest(hosts.TOPIC, boot_time())
        )
        fleet = self.kernel.service('members')
        found = self.kernel.service('entry-reader').decode_all(
            hosts.TOPIC, page.records, hosts.decode_host
        )
        for _, record in found:
            fleet.add_host(record)
        fleet.is_joining = bool(fleet.peers)

    async def retry(self, call: Callable[[], Awaitable[Any]]) -> Any:
        """Calls the store until the call succeeds."""
        while True:
            try:
                return await call()
            except (
                StoreUnavailableError,
                AppendUnknownError,
                CodecError,
            ) as error:
                log.warning(
                    'store-call-failed', extra={'figures': {'why': str(error)}}
                )
                await asyncio.sleep(STORE_RETRY_S)
