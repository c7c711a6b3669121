"""Process of a proxy host: sockets, signals and tasks."""

import asyncio
import logging
import secrets
import signal
import time
from pathlib import Path
from typing import Any

from teaselcove import answer_memory, errors
from teaselcove.ids import Instant, ZoneName
from teaselcove.ingress import held_signals, listener, members, services
from teaselcove.ingress.backend import BackendPool
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.entities import HostRecord
from teaselcove.ingress.freshness import Freshness
from teaselcove.ingress.gossip import Gossip
from teaselcove.ingress.kernel import kernel_settings
from teaselcove.ingress.log_lines import StructuredLog
from teaselcove.ingress.peer_port import choose_peer_port, transport_settings
from teaselcove.ingress.readout import RequestMetrics, labelled
from teaselcove.ingress.registration import Registration
from teaselcove.ingress.requests import Requests
from teaselcove.ingress.server import (
    BodyMemory,
    CallerEndpoint,
    OperationsEndpoint,
)
from teaselcove.ingress.settings import IngressSettings, load_settings
from teaselcove.platform import boot as platform_boot
from teaselcove.platform.store import StoreClient

log = logging.getLogger('teaselcove.host')

SEED_BITS = 64
MS_PER_S = 1000
# Share of the grace period after which no connections are accepted. Callers
# cache the list of hosts for some seconds.
ACCEPT_GRACE_SHARE = 0.5
# Share of the grace period after which the process exits even if requests are
# in flight; those may be cut off in the last sixth of the grace period.
EXIT_GRACE_SHARE = 0.9
# Seconds added to the configured idle timeout, so that a connection is not
# closed just as the caller writes a request to it.
IDLE_MARGIN_S = 2
# Seconds added to the header timeout for headers still in transit on a slow
# link.
HEADER_MARGIN_S = 1
HOUSEKEEPING_INTERVAL_S = 1
# Seconds to wait for other hosts that start at the same time to register.
REGISTER_PAUSE_S = 0.25
# Body limit until a configuration is loaded.
MAX_BODY_BYTES = 1024 * 1024
# Seconds to write the remaining log lines when the process stops.
LOG_CLOSE_S = 0.2


class IngressDaemon:
    """Runs one proxy host.

    Attributes:
        draining: Whether a stop was requested.
        exit_at: When the process exits at the latest after a stop request.
        joined: Whether the other hosts were loaded once.
    """

    def __init__(
        self,
        boot: platform_boot.BootSettings,
        settings: IngressSettings,
        structured_log: StructuredLog,
    ) -> None:
        self.boot = boot
        self.structured_log = structured_log
        self.settings = settings
        self.kernel = services.build(
            kernel_settings(boot, settings), secrets.randbits(SEED_BITS)
        )
        peer_port = choose_peer_port(boot)
        self.own_record = HostRecord(
            boot.host,
            boot.zone,
            boot.caller_address,
            f'{boot.ip}:{peer_port}',
            int(time.time() * MS_PER_S),
            members.capacity_of(boot.cores, boot.link_mbps),
        )
        self.request_metrics = RequestMetrics()
        self.body_memory = BodyMemory(
            int(boot.memory_bytes * settings.memory_share)
        )
        self.answer_memory = answer_memory.AnswerMemory(
            int(boot.memory_bytes * settings.answer_memory_share)
        )
        self.pool = BackendPool(
            boot.ip, settings.max_answer_bytes, self.answer_memory
        )
        self.gossip = Gossip(
            self.kernel, self.own_record, transport_settings(boot, peer_port)
        )
        self.draining = False
        self.exit_at = Instant(float('inf'))
        self.stopping = asyncio.Event()
        self.joined = asyncio.Event()
        self.supervisor = self.service('supervisor')

    def service(self, name: str) -> Any:
        """Returns the kernel service with a name."""
        return self.kernel.service(name)

    def is_ready(self) -> bool:
        """Returns whether the host can serve requests."""
        has_servers = self.service('discovery').confirmed_at is not None
        has_routes = self.service('catalog').confirmed_at is not None
        can_serve = has_servers and has_routes and self.callers.is_open
        return can_serve and not self.draining

    def resolve(self, zone: ZoneName) -> dict[str, Any]:
        """Returns the hosts that callers in a zone should use."""
        records = self.service('hubs').in_use(boot_time())
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
        """Returns the current size limit of a request body."""
        configuration = self.service('catalog').configuration
        memory_limit = int(self.boot.memory_bytes * self.settings.memory_share)
        if configuration is None:
            return min(memory_limit, MAX_BODY_BYTES)
        return min(memory_limit, configuration.limits.max_body_bytes)

    def connection_limits(self) -> listener.ConnectionLimits:
        """Returns the limits for callers' connections."""
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
        """Returns counters, latency percentiles and ages of data as text."""
        now = boot_time()
        catalog = self.service('catalog')
        fleet = self.service('members')
        return self.request_metrics.render(
            {
                'configuration_version': catalog.version,
                'configuration_age_seconds': catalog.age(now),
                'servers_age_seconds': self.service('discovery').age(now),
                'store_era': self.service('store-era').current or 0,
                'servers': len(self.service('discovery').servers),
                'servers_limited': len(self.service('server-limits').limited),
                'hosts_heard': len(fleet.live_hosts(now)),
                'in_use': int(self.service('hubs').is_in_use(now)),
                'requests_running': len(self.requests.running),
                'backend_connections_opened': self.pool.connections_opened,
                'store_calls': sum(self.store.calls.values()),
                'store_failures': self.store.failures,
                'answer_bytes_held': self.answer_memory.held,
                'answers_given_way': self.answer_memory.given_way,
                'log_lines_left_out': self.structured_log.handler.total_dropped,
                **self.gossip.sent_bytes(),
                **labelled('task_failures', 'task', self.supervisor.failures),
                **labelled(
                    'entries_skipped',
                    'topic',
                    self.service('entry-reader').skipped,
                ),
            }
        )

    async def run(self) -> None:
        """Serves until a stop is requested and requests have finished."""
        self.handle_signals()
        self.service('members').start(
            self.own_record, boot_time(), joining=True
        )
        self.store = StoreClient(self.boot.store_address, self.answer_memory)
        self.registration = Registration(
            self.kernel, self.store, self.own_record
        )
        self.service('store-era').on_restored = lambda: self.supervisor.start(
            'register-again', self.registration.register_again
        )
        self.freshness = Freshness(self.kernel, self.store, self.gossip)
        self.requests = Requests(
            self.kernel, self.pool, self.freshness, self.gossip
        )
        self.make_listeners()
        self.start_tasks()
        log.info('start', extra={'figures': {'host': self.boot.host}})
        await self.stopping.wait()
        await self.finish_requests()
        # The event loop removes the handlers as it closes.
        held_signals.hold()
        self.store.close()
        log.info('stop', extra={'figures': {'host': self.boot.host}})

    def handle_signals(self) -> None:
        """Installs signal handlers: stop on TERM and INT, reload on HUP."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        held_signals.let_through()

    def start_tasks(self) -> None:
        """Starts the background tasks."""
        start = self.supervisor.start
        for opened in self.listeners:
            start(f'listen-{opened.port}', opened.start)
        start('receive', self.receive)
        start('follow-configuration', self.freshness.follow_configuration)
        start('keep-fresh', self.freshness.keep_fresh)
        start('join-fleet', self.join_fleet)
        start('gossip', self.run_gossip)
        start('housekeeping', self.run_housekeeping)

    async def receive(self) -> None:
        """Receives messages of other hosts."""
        self.gossip.transport.bind()
        await self.gossip.transport.run()

    def make_listeners(self) -> None:
        """Creates all listeners; a background task starts each of them.

        A port may be in use for a while, and a host serves without its port for
        metrics.
        """
        operations = OperationsEndpoint(self)
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
            *(listener.Listener(operations, address) for address in addresses),
        ]

    async def join_fleet(self) -> None:
        """Registers the host and loads the others, those beside it too."""
        await self.registration.register()
        await self.load_hosts()
        self.joined.set()
        await asyncio.sleep(REGISTER_PAUSE_S)
        await self.load_hosts()

    async def load_hosts(self) -> None:
        """Loads the other hosts."""
        await self.registration.load_hosts()
        self.gossip.update_addresses()

    async def run_gossip(self) -> None:
        """Exchanges messages once the other hosts are loaded."""
        await self.joined.wait()
        await self.gossip.run()

    async def run_housekeeping(self) -> None:
        """Closes idle connections and reloads settings when they change."""
        modified_ns = platform_boot.settings_modified_ns()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.pool.close_idle()
            latest = platform_boot.settings_modified_ns()
            if latest != modified_ns:
                modified_ns = latest
                self.reload()

    def reload(self) -> None:
        """Reloads the settings; keeps the current ones if they are invalid."""
        try:
            boot = platform_boot.load_boot(platform_boot.settings_path())
        except errors.SettingsError as error:
            log.error('reload-refused', extra={'figures': {'why': str(error)}})
            return
        self.boot = boot
        self.kernel.settings = kernel_settings(boot, self.settings)
        log.info('reload', extra={'figures': {'host': boot.host}})

    def drain(self) -> None:
        """Announces that the host leaves, and stops within the grace period."""
        if self.draining:
            return
        log.info('drain', extra={'figures': {'host': self.boot.host}})
        self.draining = True
        grace = self.boot.bounds.grace
        self.exit_at = Instant(boot_time() + grace * EXIT_GRACE_SHARE)
        self.service('stopping').exit_at = self.exit_at
        self.service('members').leaving = True
        self.gossip.heartbeats.send_heartbeats(boot_time())
        loop = asyncio.get_running_loop()
        loop.call_later(grace * ACCEPT_GRACE_SHARE, self.stopping.set)

    async def finish_requests(self) -> None:
        """Waits for requests in flight, then closes everything."""
        self.callers.stop()
        while self.callers.is_busy and boot_time() < self.exit_at:
            await asyncio.sleep(0.05)
        for opened in self.listeners:
            opened.stop()
        self.supervisor.stop()
        self.pool.close()
        self.gossip.transport.close()


def serve(path: Path) -> None:
    """Runs a host until a stop is requested.

    Raises:
        FieldError: If the host's settings are not valid.
        SettingsError: If the platform's settings are not valid.
    """
    settings = load_settings(path)
    boot = platform_boot.wait_for_boot(
        platform_boot.settings_path(), held_signals.is_stop_pending
    )
    if boot is None:
        return
    structured_log = StructuredLog(
        settings.log, settings.log_lines_per_second, boot.host
    )
    try:
        asyncio.run(run(boot, settings, structured_log))
    finally:
        structured_log.close(LOG_CLOSE_S)


async def run(
    boot: platform_boot.BootSettings,
    settings: IngressSettings,
    structured_log: StructuredLog,
) -> None:
    """Runs a host in the event loop."""
    await IngressDaemon(boot, settings, structured_log).run()
