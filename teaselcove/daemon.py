"""Host process: sockets, signals, startup and shutdown."""

import asyncio
import contextlib
import logging
import secrets
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import uvicorn

from teaselcove import effects as fx
from teaselcove import events as ev
from teaselcove import logs
from teaselcove import settings as host_settings
from teaselcove.drain import GRACE_PERIOD_S
from teaselcove.driver import Driver
from teaselcove.frontend import Frontend
from teaselcove.ids import OrganisationId
from teaselcove.listening import listening_socket
from teaselcove.platform.port import PlatformPort
from teaselcove.readout import HostMetrics
from teaselcove.server import application
from teaselcove.settings import HostSettings
from teaselcove.transport import Transport

log = logging.getLogger(__name__)
decision_log = logging.getLogger('teaselcove.decisions')

LISTEN_BACKLOG = 512
KEEPALIVE_S = 75
SEED_BITS = 64


class HttpServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


class Daemon:
    """Runs one host.

    Attributes:
        draining: Whether a drain has started; replies then ask callers to
            close their connection.
        exiting: Set when the process may end.
    """

    def __init__(self, settings: HostSettings, seed: int) -> None:
        self.settings = settings
        self.driver = Driver(settings, seed)
        self.host_metrics = HostMetrics()
        self.frontend = Frontend(self.driver, settings, self.host_metrics)
        membership = self.driver.kernel.service('membership')
        self.transport = Transport(
            settings, membership.incarnation, self.driver.handle_event
        )
        self.draining = False
        self.exiting = asyncio.Event()
        self.driver.effect_handlers.update(
            {
                fx.Send: self.send,
                fx.LogDecision: self.log_decision,
                fx.Exit: self.exit,
            }
        )

    def send(self, effect: fx.Send) -> None:
        """Sends a message to another host."""
        self.transport.send(effect.host, effect.message)

    def log_decision(self, effect: fx.LogDecision) -> None:
        """Counts a decision and writes it to the decision log."""
        self.host_metrics.decisions[effect.kind] += 1
        if decision_log.isEnabledFor(logging.INFO):
            decision_log.info(effect.kind, extra={'figures': effect.figures})

    def exit(self, effect: fx.Exit) -> None:
        """Lets the process end after the listener is closed."""
        self.exiting.set()

    def hosts_for(self, organisation: OrganisationId) -> Any:
        """Returns the hosts that callers of an organisation should use."""
        placement = self.driver.kernel.service('placement')
        answer = placement.hosts_for(organisation, self.driver.now())
        self.driver.execute(self.driver.kernel.take_effects())
        return answer

    def status(self) -> dict[str, Any]:
        """Returns the configuration version, its age and the known hosts."""
        configuration = self.driver.kernel.service('configuration')
        membership = self.driver.kernel.service('membership')
        last_read = configuration.last_log_read
        now = self.driver.now()
        return {
            'host': self.settings.host,
            'zone': self.settings.zone,
            'incarnation': str(membership.incarnation),
            'version': configuration.version,
            'digest': f'{getattr(configuration, "digest", 0):x}',
            'may_serve': configuration.may_serve(now),
            'log_read_age': None if last_read is None else now - last_read,
            'hosts': len(membership.hosts),
            'usable_hosts': [
                entry.host for entry in membership.usable_hosts(now)
            ],
            'draining': self.draining,
        }

    def metrics(self) -> dict[str, Any]:
        """Returns counters and latency histograms."""
        return self.host_metrics.snapshot(
            host=self.settings.host,
            pending=len(self.frontend.pending),
            transport=self.transport.counters,
            failed_effects=self.driver.failed_effects,
        )

    async def run(self) -> None:
        """Serves requests until the core requests the exit."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.start_drain)
        listener = self.bind()
        self.transport.bind()
        async with aiohttp.ClientSession() as session:
            PlatformPort(self.driver, self.transport, self.settings, session)
            receiver = loop.create_task(self.transport.run())
            self.driver.start()
            self.http = HttpServer(self.http_config())
            log.info('host %s is starting', self.settings.host)
            await self.http.serve(sockets=[listener])
            await self.exiting.wait()
            receiver.cancel()
            await self.close()

    def bind(self) -> socket.socket:
        """Opens the listening socket for callers."""
        listener = listening_socket(self.settings.address, self.settings.port)
        listener.listen(LISTEN_BACKLOG)
        return listener

    def http_config(self) -> uvicorn.Config:
        """Returns the configuration of the HTTP server."""
        return uvicorn.Config(
            application(self),
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            lifespan='off',
            http='httptools',
            loop='asyncio',
            timeout_keep_alive=KEEPALIVE_S,
            timeout_graceful_shutdown=int(self.settings.drain_limit),
        )

    def start_drain(self) -> None:
        """Starts the graceful shutdown."""
        if self.draining:
            return
        log.info('host %s is draining', self.settings.host)
        self.draining = True
        self.driver.handle_event(ev.DrainRequested())
        loop = asyncio.get_running_loop()
        loop.call_later(GRACE_PERIOD_S, self.stop_listening)
        loop.call_later(self.settings.drain_limit, self.exiting.set)

    def stop_listening(self) -> None:
        """Closes the listener; requests in flight continue."""
        self.http.should_exit = True

    async def close(self) -> None:
        """Closes connections and sockets and cancels running tasks."""
        self.driver.stop()
        await self.frontend.backends.close()
        self.transport.close()
        log.info('host %s has stopped', self.settings.host)


def serve(path: Path) -> None:
    """Runs a host until it has drained.

    Raises:
        FieldError: If the settings are invalid.
    """
    settings = host_settings.load(path)
    logs.configure_logging(settings.log)
    asyncio.run(run(settings))


async def run(settings: HostSettings) -> None:
    """Runs a host with a new random seed."""
    await Daemon(settings, secrets.randbits(SEED_BITS)).run()
