"""Faults that the soak injects into the processes from outside."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec

from soak.link import LinkFault
from standins.backend import Fault
from standins.log_store import StoreFault
from standins.platform_deployment import call
from teaselcove.platform.hosts import TOPIC as HOSTS_TOPIC
from teaselcove.platform.records import CONFIGURATION_TOPIC, SERVERS_TOPIC
from teaselcove.registry import Registry

if TYPE_CHECKING:
    from soak.run import Soak

InjectFault = Callable[['Soak', random.Random], Awaitable[None]]
faults: Registry[InjectFault] = Registry('fault')

# Faults that leave the contact between hosts and the store intact.
SERVER_FAULTS = frozenset(
    (
        'failing-server',
        'kill-server',
        'pause-server',
        'server-link',
        'withdraw-key',
        'leaving-server',
        'odd-entry',
    )
)
# Entries of another writer: nested, cut off, with numbers out of range.
ODD_ENTRIES = tuple(
    text.encode()
    for text in (
        f'{{"service":"job","state":"ready","labels":{"[" * 4096}',
        f'{"[" * 4096}{"]" * 4096}',
        f'{{"service":"job","address":"127.0.0.1:{"9" * 5000}"}}',
        f'{{"host":"other-writer","started_ms":{"9" * 400}}}',
        '\x00',
    )
)
MIN_DURATION_S = 0.5
MAX_DURATION_S = 3


async def wait_random_duration(rng: random.Random) -> None:
    """Waits for the random duration of a fault."""
    await asyncio.sleep(rng.uniform(MIN_DURATION_S, MAX_DURATION_S))


@faults.register('kill-host')
async def kill_host(soak: 'Soak', rng: random.Random) -> None:
    """Kills a host and starts it again."""
    await soak.hosts.restart(rng.choice(soak.deployment.names), signal.SIGKILL)


@faults.register('stop-host')
async def stop_host(soak: 'Soak', rng: random.Random) -> None:
    """Stops a host gracefully and starts it again."""
    await soak.hosts.restart(rng.choice(soak.deployment.names), signal.SIGTERM)


@faults.register('pause-host')
async def pause_host(soak: 'Soak', rng: random.Random) -> None:
    """Suspends a host."""
    await soak.pause(rng.choice(soak.deployment.names), rng)


@faults.register('pause-server')
async def pause_server(soak: 'Soak', rng: random.Random) -> None:
    """Suspends a backend server."""
    await soak.pause(rng.choice(sorted(soak.deployment.servers)), rng)


@faults.register('kill-server')
async def kill_server(soak: 'Soak', rng: random.Random) -> None:
    """Kills a backend server and starts it again."""
    await soak.restart_server(rng.choice(sorted(soak.deployment.servers)))


@faults.register('failing-server')
async def failing_server(soak: 'Soak', rng: random.Random) -> None:
    """Lets a server fail, slow down, or send truncated or wrong answers."""
    fault = rng.choice(
        (
            Fault(error_share=0.7),
            Fault(truncate_share=0.5),
            Fault(wrong_id=True),
            Fault(slow_factor=30),
        )
    )
    name = rng.choice(sorted(soak.deployment.servers))
    await set_server_fault(soak, name, fault)
    await wait_random_duration(rng)
    await set_server_fault(soak, name, Fault())


async def set_server_fault(soak: 'Soak', name: str, fault: Fault) -> None:
    """Sets the fault of a server; one that leaves goes on leaving."""
    leaving = name in soak.evidence.leaving
    await soak.set_fault(
        soak.deployment.servers[name],
        msgspec.structs.replace(fault, leaving=leaving),
    )


@faults.register('store')
async def store_fault(soak: 'Soak', rng: random.Random) -> None:
    """Lets the store refuse, ignore or delay requests, or lose replies."""
    fault = rng.choice(
        (
            StoreFault(status=503),
            StoreFault(silent=True),
            StoreFault(delay=0.4),
            StoreFault(lose_replies=True),
        )
    )
    await soak.set_fault(soak.deployment.store, fault)
    await wait_random_duration(rng)
    await soak.set_fault(soak.deployment.store, StoreFault())


@faults.register('forgotten-history')
async def forget_history(soak: 'Soak', rng: random.Random) -> None:
    """Lets the store drop all but the newest record of each key."""
    for topic in (CONFIGURATION_TOPIC, SERVERS_TOPIC):
        await asyncio.to_thread(soak.deployment.trim, topic)


@faults.register('restored-store')
async def restore_store(soak: 'Soak', rng: random.Random) -> None:
    """Lets the store come back from a copy that is some seconds old.

    The operator and the servers write again what is lost.
    """
    store = soak.deployment.store
    await asyncio.to_thread(call, store, 'POST', '/copy', {})
    await wait_random_duration(rng)
    await soak.set_fault(store, StoreFault(status=503))
    await wait_random_duration(rng)
    await asyncio.to_thread(call, store, 'POST', '/restore', {})
    await soak.write_configuration()
    await soak.set_fault(store, StoreFault())


@faults.register('store-link')
async def store_link(soak: 'Soak', rng: random.Random) -> None:
    """Disrupts the path between a host and the store."""
    link = soak.store_links[rng.choice(sorted(soak.store_links))]
    link.fault = rng.choice(
        (
            LinkFault.SILENCE,
            LinkFault.REFUSE,
            LinkFault.CUT_REPLIES,
            LinkFault.DELAY,
        )
    )
    await wait_random_duration(rng)
    link.fault = LinkFault.NONE


@faults.register('server-link')
async def server_link(soak: 'Soak', rng: random.Random) -> None:
    """Disrupts the path to a backend server."""
    link = soak.server_links[rng.choice(sorted(soak.server_links))]
    link.fault = rng.choice(
        (LinkFault.SILENCE, LinkFault.REFUSE, LinkFault.CUT_REPLIES)
    )
    await wait_random_duration(rng)
    link.fault = LinkFault.NONE


@faults.register('reset')
async def reset_connections(soak: 'Soak', rng: random.Random) -> None:
    """Resets a random share of the connections of a link."""
    soak.random_link(rng).reset_some(rng.uniform(0.2, 1))


@faults.register('silent-connections')
async def silence_connections(soak: 'Soak', rng: random.Random) -> None:
    """Silences a random share of a link's open connections for good."""
    soak.random_link(rng).silence_some(rng.uniform(0.2, 1))


@faults.register('withdraw-key')
async def withdraw_key(soak: 'Soak', rng: random.Random) -> None:
    """Withdraws a key of an organisation."""
    await soak.withdraw_key(rng)


@faults.register('settings')
async def change_settings(soak: 'Soak', rng: random.Random) -> None:
    """Rewrites the settings file of a host and lets the host reload it.

    The file is truncated for a while first, in half of the cases.
    """
    name = rng.choice(soak.deployment.names)
    path = soak.deployment.directory / f'{name}.json'
    good = path.read_bytes()
    if rng.choice((True, False)):
        path.write_bytes(good[: len(good) // 2])
        await wait_random_duration(rng)
    path.write_bytes(good)
    await soak.hosts.send_reloads(name, rng)


@faults.register('taken-port')
async def take_port(soak: 'Soak', rng: random.Random) -> None:
    """Lets another program hold a port of a host that starts again."""
    name = rng.choice(soak.deployment.names)
    await soak.hosts.restart_beside_taken_port(name, rng)


@faults.register('odd-entry')
async def write_odd_entry(soak: 'Soak', rng: random.Random) -> None:
    """Writes an entry to the store that no host or server writes."""
    topic = rng.choice((CONFIGURATION_TOPIC, SERVERS_TOPIC, HOSTS_TOPIC))
    target = f'/record?topic={topic}&key=other-writer'
    store = soak.deployment.store
    await asyncio.to_thread(
        call, store, 'PUT', target, {}, rng.choice(ODD_ENTRIES)
    )


@faults.register('leaving-server')
async def announce_leaving(soak: 'Soak', rng: random.Random) -> None:
    """Lets a server announce that it leaves; it serves until the end."""
    await soak.announce_leaving(rng)
