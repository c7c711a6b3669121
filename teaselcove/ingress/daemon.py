"""The process of a host on the platform: sockets, signals, tasks."""

import asyncio
import logging
import secrets
import signal
import time
from pathlib import Path
from typing import Any

from teaselcove import errors
from teaselcove.ids import ZoneName
from teaselcove.ingress import listener, members, services
from teaselcove.ingress.backend import BackendPool
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.freshness import Freshness
from teaselcove.ingress.gossip import Gossip
from teaselcove.ingress.kernel import kernel_settings
from teaselcove.ingress.log_lines import StructuredLog
from teaselcove.ingress.readout import Readout
from teaselcove.ingress.requests import Requests
from teaselcove.ingress.server import (
    BodyMemory,
    CallerEndpoint,
    OwnEndpoint,
)
from teaselcove.ingress.settings import IngressSettings, load_settings
from teaselcove.platform import boot as platform_boot
from teaselcove.platform import hosts
from teaselcove.platform.store import StoreClient
from teaselcove.settings import HostSettings

log = logging.getLogger('teaselcove.host')

SEED_BITS = 64
MS_PER_S = 1000
# Share of the grace after which no more connections are accepted. Callers
# keep an answer about which hosts to use for some seconds.
LISTEN_SHARE = 0.5
# Share of the grace after which the process ends whatever runs; in the last
# sixth of it a request in progress may be cut.
END_SHARE = 0.9
# A little above the idle time of callers, so that a connection is not
# closed just as a request is written to it.
IDLE_MARGIN_S = 2
# Headers of a caller whose link is slow may be under way at their time limit.
HEADER_MARGIN_S = 1
HOUSEKEEPING_S = 1
# Time for other hosts that start together to register.
REGISTER_PAUSE_S = 0.25
RETRY_S = 0.3
MAX_BODY_BYTES = 1024 * 1024
# Time for the last log lines when the process stops.
LOG_CLOSE_S = 0.2


class IngressDaemon:
    """Runs one host.

    Attributes:
        draining: Whether the process was asked to stop.
    """

    def __init__(
        self,
        boot: platform_boot.Boot,
        settings: IngressSettings,
        lines: StructuredLog,
    ) -> None:
        self.boot = boot
        self.lines = lines
        self.settings = settings
        self.kernel = services.build(
            kernel_settings(boot, settings), secrets.randbits(SEED_BITS)
        )
        self.own = HostRecord(
            boot.host,
            boot.zone,
            boot.caller_address,
            f'{boot.ip}:{boot.peer_port}',
            int(time.time() * MS_PER_S),
            members.capacity_of(boot.cores, boot.link_mbps),
        )
        self.readout = Readout()
        self.body_memory = BodyMemory(
            int(boot.memory_bytes * settings.memory_share)
        )
        self.pool = BackendPool(boot.ip, settings.max_answer_bytes)
        self.gossip = Gossip(self.kernel, self.own, transport_settings(boot))
        self.draining = False
        self.stopping = asyncio.Event()
        self.tasks: set[asyncio.Task[Any]] = set()

    def service(self, name: str) -> Any:
        """Returns a service of the kernel."""
        return self.kernel.service(name)

    def is_ready(self) -> bool:
        """Returns whether the host may get requests."""
        knows_servers = self.service('discovery').confirmed_at is not None
        knows_routes = self.service('catalog').version > 0
        return knows_routes and knows_servers and not self.draining

    def resolve(self, zone: ZoneName) -> dict[str, Any]:
        """Returns which hosts the callers of a zone should use."""
        records = self.service('members').in_use(boot_time())
        log.info(
            'resolve',
            extra={
                'figures': {
                    'zone': zone,
                    'hosts': [record.host for record in records],
                }
            },
        )
        return {
            'addresses': [record.address for record in records],
            'ttlS': self.settings.resolve_lifetime,
        }

    def max_body_bytes(self) -> int:
        """Returns the largest body that a caller may send now."""
        configuration = self.service('catalog').configuration
        share = int(self.boot.memory_bytes * self.settings.memory_share)
        if configuration is None:
            return min(share, MAX_BODY_BYTES)
        return min(share, configuration.limits.max_body_bytes)

    def connection_limits(self) -> listener.ConnectionLimits:
        """Returns what a caller's connection may do."""
        configuration = self.service('catalog').configuration
        if configuration is None:
            return listener.ConnectionLimits()
        limits = configuration.limits
        return listener.ConnectionLimits(
            limits.idle_timeout + IDLE_MARGIN_S,
            limits.header_timeout + HEADER_MARGIN_S,
            limits.max_header_bytes,
        )

    def metrics(self) -> str:
        """Returns counters, histograms and ages of beliefs."""
        now = boot_time()
        catalog = self.service('catalog')
        fleet = self.service('members')
        return self.readout.text(
            {
                'configuration_version': catalog.version,
                'configuration_age_seconds': catalog.age(now),
                'servers_age_seconds': self.service('discovery').age(now),
                'servers': len(self.service('discovery').servers),
                'hosts_heard': len(fleet.live_hosts(now)),
                'in_use': int(fleet.is_in_use(now)),
                'requests_running': len(self.requests.running),
                'backend_connections_opened': self.pool.opened,
                'store_calls': sum(self.store.calls.values()),
                'store_failures': self.store.failures,
                'log_lines_left_out': self.lines.handler.total_left_out,
            }
        )

    async def run(self) -> None:
        """Serves until the process is asked to stop."""
        self.handle_signals()
        self.service('members').start(self.own, boot_time())
        self.store = StoreClient(self.boot.store_address)
        self.freshness = Freshness(self.kernel, self.store, self.gossip)
        self.requests = Requests(
            self.kernel, self.pool, self.freshness, self.gossip
        )
        await self.listen()
        self.start_tasks()
        log.info('start', extra={'figures': {'host': self.boot.host}})
        await self.stopping.wait()
        await self.finish()
        self.store.close()
        log.info('stop', extra={'figures': {'host': self.boot.host}})

    def handle_signals(self) -> None:
        """Lets signals stop the process or reload its settings."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def start_tasks(self) -> None:
        """Starts what runs until the process stops."""
        self.gossip.transport.bind()
        self.spawn(self.gossip.transport.run())
        self.spawn(self.freshness.follow_configuration())
        self.spawn(self.freshness.keep_fresh())
        self.spawn(self.join())
        self.spawn(self.keep_house())

    def spawn(self, work: Any) -> None:
        """Runs a coroutine until the process stops."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)

    def task_done(self, task: asyncio.Task[Any]) -> None:
        """Ends the process if a task of its own fails."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error('a task failed', exc_info=task.exception())
            self.drain()

    async def listen(self) -> None:
        """Opens the listeners."""
        own = OwnEndpoint(self)
        self.callers = listener.Listener(
            CallerEndpoint(self),
            self.boot.caller_address,
            self.connection_limits,
        )
        addresses = [self.boot.ready_address, self.boot.resolve_address]
        if self.settings.metrics_port is not None:
            addresses.append(f'{self.boot.ip}:{self.settings.metrics_port}')
        self.listeners = [
            self.callers,
            *(listener.Listener(own, address) for address in addresses),
        ]
        for opened in self.listeners:
            await opened.start()

    async def join(self) -> None:
        """Registers the host, learns of the others, then exchanges news."""
        record = hosts.encode_host(self.own)
        await self.insist(
            lambda: self.store.put(hosts.TOPIC, self.own.host, record)
        )
        await asyncio.sleep(REGISTER_PAUSE_S)
        page = await self.insist(
            lambda: self.store.newest(hosts.TOPIC, boot_time())
        )
        fleet = self.service('members')
        for item in page.records:
            try:
                fleet.add_host(hosts.decode_host(item))
            except errors.CodecError as error:
                log.warning(
                    'host-unreadable', extra={'figures': {'why': str(error)}}
                )
        self.gossip.update_addresses()
        await self.gossip.run()

    async def insist(self, call: Any) -> Any:
        """Repeats a call of the store until it succeeds."""
        while True:
            try:
                return await call()
            except (
                errors.StoreUnavailableError,
                errors.AppendUnknownError,
                errors.CodecError,
            ) as error:
                log.warning(
                    'store-call-failed', extra={'figures': {'why': str(error)}}
                )
                await asyncio.sleep(RETRY_S)

    async def keep_house(self) -> None:
        """Closes old connections and notices changed settings."""
        changed = platform_boot.settings_time()
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.pool.close_idle()
            latest = platform_boot.settings_time()
            if latest != changed:
                changed = latest
                self.reload()

    def reload(self) -> None:
        """Takes over changed settings, if they can be used."""
        try:
            boot = platform_boot.load_boot(platform_boot.settings_path())
        except errors.SettingsError as error:
            log.error('reload-refused', extra={'figures': {'why': str(error)}})
            return
        self.boot = boot
        self.kernel.settings = kernel_settings(boot, self.settings)
        log.info('reload', extra={'figures': {'host': boot.host}})

    def drain(self) -> None:
        """Leaves the hosts in use, then stops within the grace."""
        if self.draining:
            return
        log.info('drain', extra={'figures': {'host': self.boot.host}})
        self.draining = True
        self.service('members').leaving = True
        self.gossip.send_heartbeats(boot_time())
        loop = asyncio.get_running_loop()
        grace = self.boot.bounds.grace
        loop.call_later(grace * LISTEN_SHARE, self.stopping.set)

    async def finish(self) -> None:
        """Finishes the requests in progress."""
        self.callers.stop()
        grace = self.boot.bounds.grace
        end_at = boot_time() + grace * (END_SHARE - LISTEN_SHARE)
        while self.callers.is_busy and boot_time() < end_at:
            await asyncio.sleep(0.05)
        for opened in self.listeners:
            opened.stop()
        for task in tuple(self.tasks):
            task.cancel()
        self.pool.close()
        self.gossip.transport.close()


def transport_settings(boot: platform_boot.Boot) -> HostSettings:
    """Returns the settings of the messages between hosts."""
    return HostSettings(
        host=boot.host,
        zone=boot.zone,
        address=boot.ip,
        port=0,
        peer_port=boot.peer_port,
        log_url='',
        list_url='',
    )


def serve(path: Path) -> None:
    """Runs a host until it is asked to stop.

    Raises:
        FieldError: If the own settings are not valid.
        SettingsError: If those of the platform are not valid.
    """
    settings = load_settings(path)
    boot = platform_boot.load_boot(platform_boot.settings_path())
    lines = StructuredLog(
        settings.log, settings.log_lines_per_second, boot.host
    )
    try:
        asyncio.run(run(boot, settings, lines))
    finally:
        lines.close(LOG_CLOSE_S)


async def run(
    boot: platform_boot.Boot, settings: IngressSettings, lines: StructuredLog
) -> None:
    """Runs a host."""
    await IngressDaemon(boot, settings, lines).run()
