"""Faults that the soak injects from outside the processes."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from soak.link import Harm
from standins.backend import Fault
from standins.log_store import StoreFault
from teaselcove.registry import Registry

if TYPE_CHECKING:
    from soak.run import Soak

Play = Callable[['Soak', random.Random], Awaitable[None]]
faults: Registry[Play] = Registry('fault')

# Faults that do not keep any host from hearing the store.
SERVER_FAULTS = frozenset(
    (
        'failing-server',
        'kill-server',
        'pause-server',
        'server-link',
        'withdraw-key',
        'leaving-server',
    )
)
MIN_S = 0.5
MAX_S = 3


async def last(draw: random.Random) -> None:
    """Lets a fault last for a while."""
    await asyncio.sleep(draw.uniform(MIN_S, MAX_S))


@faults.register('kill-host')
async def kill_host(soak: 'Soak', draw: random.Random) -> None:
    """Kills a host and starts it again."""
    await soak.restart_host(draw.choice(soak.deployment.names), signal.SIGKILL)


@faults.register('stop-host')
async def stop_host(soak: 'Soak', draw: random.Random) -> None:
    """Stops a host in good order and starts it again."""
    await soak.restart_host(draw.choice(soak.deployment.names), signal.SIGTERM)


@faults.register('pause-host')
async def pause_host(soak: 'Soak', draw: random.Random) -> None:
    """Suspends a host."""
    await soak.pause(draw.choice(soak.deployment.names), draw)


@faults.register('pause-server')
async def pause_server(soak: 'Soak', draw: random.Random) -> None:
    """Suspends a backend server."""
    await soak.pause(draw.choice(sorted(soak.deployment.servers)), draw)


@faults.register('kill-server')
async def kill_server(soak: 'Soak', draw: random.Random) -> None:
    """Kills a backend server and starts it again."""
    await soak.restart_server(draw.choice(sorted(soak.deployment.servers)))


@faults.register('failing-server')
async def failing_server(soak: 'Soak', draw: random.Random) -> None:
    """Lets a server fail, cut answers short or mix them up."""
    fault = draw.choice(
        (
            Fault(error_share=0.7),
            Fault(truncate_share=0.5),
            Fault(wrong_id=True),
            Fault(slow_factor=30),
        )
    )
    name = draw.choice(sorted(soak.deployment.servers))
    await soak.set_fault(soak.deployment.servers[name], fault)
    await last(draw)
    await soak.set_fault(soak.deployment.servers[name], Fault())


@faults.register('store')
async def store_fault(soak: 'Soak', draw: random.Random) -> None:
    """Lets the store refuse, be silent, be late or lose answers."""
    fault = draw.choice(
        (
            StoreFault(status=503),
            StoreFault(silent=True),
            StoreFault(delay=0.4),
            StoreFault(lose_replies=True),
        )
    )
    await soak.set_fault(soak.deployment.store, fault)
    await last(draw)
    await soak.set_fault(soak.deployment.store, StoreFault())


@faults.register('forgotten-history')
async def forget_history(soak: 'Soak', draw: random.Random) -> None:
    """Lets the store drop its records but the newest of each key."""
    await soak.trim()


@faults.register('store-link')
async def store_link(soak: 'Soak', draw: random.Random) -> None:
    """Cuts a host off from the store."""
    link = soak.store_links[draw.choice(sorted(soak.store_links))]
    link.harm = draw.choice(
        (Harm.SILENCE, Harm.REFUSE, Harm.CUT_REPLIES, Harm.DELAY)
    )
    await last(draw)
    link.harm = Harm.NONE


@faults.register('server-link')
async def server_link(soak: 'Soak', draw: random.Random) -> None:
    """Harms the path to a backend server."""
    link = soak.server_links[draw.choice(sorted(soak.server_links))]
    link.harm = draw.choice((Harm.SILENCE, Harm.REFUSE, Harm.CUT_REPLIES))
    await last(draw)
    link.harm = Harm.NONE


@faults.register('reset')
async def reset_connections(soak: 'Soak', draw: random.Random) -> None:
    """Resets connections of a link."""
    soak.any_link(draw).reset_some(draw.uniform(0.2, 1))


@faults.register('silent-connections')
async def silence_connections(soak: 'Soak', draw: random.Random) -> None:
    """Lets open connections go silent for good."""
    soak.any_link(draw).silence_some(draw.uniform(0.2, 1))


@faults.register('withdraw-key')
async def withdraw_key(soak: 'Soak', draw: random.Random) -> None:
    """Takes a key away."""
    await soak.withdraw(draw)


@faults.register('settings')
async def change_settings(soak: 'Soak', draw: random.Random) -> None:
    """Writes the settings of a host anew, at times unusable ones."""
    name = draw.choice(soak.deployment.names)
    path = soak.deployment.directory / f'{name}.json'
    good = path.read_bytes()
    if draw.choice((True, False)):
        path.write_bytes(good[: len(good) // 2])
        await last(draw)
    path.write_bytes(good)
    process = soak.deployment.processes.running.get(name)
    if process is not None and time.monotonic() > soak.starting.get(name, 0):
        process.send_signal(signal.SIGHUP)


@faults.register('leaving-server')
async def leave(soak: 'Soak', draw: random.Random) -> None:
    """Lets a server leave; it serves on until the end."""
    await soak.leave(draw)
