"""Executes effects on the platform's log and lists."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp

from teaselcove import effects as fx
from teaselcove import events as ev
from teaselcove.driver import Driver
from teaselcove.errors import AppendUnknownError, StoreUnavailableError
from teaselcove.settings import HostSettings
from teaselcove.store import ListClient, LogClient
from teaselcove.transport import Transport

log = logging.getLogger(__name__)


class PlatformPort:
    """Reads and appends in background tasks; sends results to the core."""

    def __init__(
        self,
        driver: Driver,
        transport: Transport,
        settings: HostSettings,
        session: aiohttp.ClientSession,
    ) -> None:
        self.driver = driver
        self.transport = transport
        self.log_client = LogClient(settings.log_url, session)
        self.list_client = ListClient(settings.list_url, session)
        driver.effect_handlers.update(
            {
                fx.Append: self.append,
                fx.ReadLog: self.read_log,
                fx.ReadHosts: self.read_hosts,
                fx.ReadEndpoints: self.read_endpoints,
            }
        )

    def append(self, effect: fx.Append) -> None:
        """Starts a task that appends a record to the log."""
        self.driver.spawn(self.append_record(effect))

    async def append_record(self, effect: fx.Append) -> None:
        """Appends a record and sends the result to the core."""
        try:
            offset = await self.log_client.append(effect.stream, effect.payload)
        except (AppendUnknownError, StoreUnavailableError) as error:
            log.warning('append to %s failed: %s', effect.stream, error)
            offset = None
        self.driver.handle_event(ev.AppendFinished(effect.append_id, offset))

    def read_log(self, effect: fx.ReadLog) -> None:
        """Starts a task that reads a stream of the log."""
        self.driver.spawn(self.read_stream(effect))

    async def read_stream(self, effect: fx.ReadLog) -> None:
        """Reads a stream and sends the records to the core."""
        event: Any = ev.StoreFailed(effect.stream)
        try:
            event = await self.log_client.read(effect.stream, effect.offset)
        except StoreUnavailableError as error:
            log.debug('read of %s failed: %s', effect.stream, error)
        self.driver.handle_event(event)

    def read_hosts(self, effect: fx.ReadHosts) -> None:
        """Starts a task that reads the platform's list of hosts."""
        self.driver.spawn(self.read_list(self.list_client.hosts))

    def read_endpoints(self, effect: fx.ReadEndpoints) -> None:
        """Starts a task that reads the list of backend servers."""
        self.driver.spawn(self.read_list(self.list_client.endpoints))

    async def read_list(
        self, read: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        """Reads a list; if that fails, the previous one stays in use."""
        try:
            event = await read()
        except StoreUnavailableError as error:
            log.debug('read of a list failed: %s', error)
            return
        if isinstance(event, ev.HostsListed):
            self.transport.update_hosts(event)
        self.driver.handle_event(event)
