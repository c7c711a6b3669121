"""Helpers that build the services of a host on the platform."""

from typing import Any

import msgspec

from teaselcove.entities import Server
from teaselcove.events import AttemptResult
from teaselcove.http_fields import CallerRequest
from teaselcove.ids import Instant
from teaselcove.ingress import services
from teaselcove.ingress.acceptance import Arrival
from teaselcove.ingress.balance import Pick
from teaselcove.ingress.calls import Call
from teaselcove.ingress.entities import HostRecord, Position, ServerEntry
from teaselcove.ingress.kernel import KernelSettings
from teaselcove.ingress.settings import IngressSettings
from teaselcove.kernel import Kernel
from teaselcove.platform.boot import Bounds
from teaselcove.platform.records import decode_configuration

ZONES = ('a', 'b', 'c')
BOUNDS = Bounds(
    revoke=5,
    drain=2,
    grace=6,
    quota_window=5,
    quota_overage=0.1,
    quota_slack=20,
    retry_ratio=0.2,
    retry_window=10,
    retry_slack=60,
    floor_share=0.7,
)
SERVER_HEARTBEAT_S = 1.5
KEY = 'key-of-village'
COMPLETE = AttemptResult.COMPLETE


def host_record(name: str, zone: str = 'a', started_ms: int = 0) -> HostRecord:
    """Returns the record of a host."""
    return HostRecord(
        name, zone, '127.0.0.1:8000', '127.0.0.1:9000', started_ms
    )


def make_kernel(
    host: str = 'host-1',
    zone: str = 'a',
    seed: int = 1,
    zones: tuple[str, ...] = ZONES,
    **settings: Any,
) -> Kernel:
    """Returns the kernel of a host that started at time 0."""
    kernel = services.build(
        KernelSettings(
            host,
            zone,
            zones,
            BOUNDS,
            IngressSettings(**settings),
            SERVER_HEARTBEAT_S,
        ),
        seed,
    )
    kernel.service('members').start(host_record(host, zone), Instant(0))
    return kernel


def configuration(version: int = 1, **changes: Any) -> bytes:
    """Returns an encoded configuration with two routes."""
    document: dict[str, Any] = {
        'version': f'r{version}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                'name': 'village',
                'apiKeys': [KEY],
                'ratePerS': 60,
                'burst': 30,
            }
        ],
        'listeners': [
            {
                'host': 'jobs.example',
                'rules': [
                    rule('look-up', 'safe', '/read/'),
                    rule('booking', 'unsafe', '/write/'),
                ],
            }
        ],
        'clusters': [{'name': 'job', 'maxConnections': 390}],
    }
    document.update(changes)
    return msgspec.json.encode(document)


def rule(name: str, kind: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Returns a route in the form used by the configuration."""
    action = {'service': 'job', 'timeoutMs': 2000, 'maxAttempts': 2}
    action.update(changes)
    return {
        'name': name,
        'routeType': kind,
        'targetLatencyMs': 600,
        'priority': 1,
        'anonymous': False,
        'match': {'pathPrefix': prefix},
        'action': action,
    }


def adopt(kernel: Kernel, payload: bytes, now: float = 0) -> bool:
    """Applies a configuration that the store has just confirmed."""
    catalog = kernel.service('catalog')
    changed = catalog.adopt(decode_configuration(payload))
    catalog.confirm(Instant(now))
    return changed


def entry(name: str, zone: str = 'a', **changes: Any) -> ServerEntry:
    """Returns the entry of a backend server of the service `job`."""
    server = Server(name, f'127.0.2.1:{len(name)}', zone, slots=3)
    fields = {'leaving': False, 'warmup_left': 0, 'started_ms': 1}
    fields.update(changes)
    return ServerEntry(server, 'job', **fields)


def at(offset: int, era: int = 0) -> Position:
    """Returns a place of a record in the store."""
    return Position(era, offset)


def add_servers(kernel: Kernel, count: int, now: float = 0) -> list[str]:
    """Adds servers to the host's list; returns their ids."""
    names = [f's{index}' for index in range(count)]
    discovery = kernel.service('discovery')
    for offset, name in enumerate(names):
        zone = ZONES[offset % len(ZONES)]
        discovery.update(entry(name, zone), at(offset), Instant(now))
    discovery.confirm(Instant(now))
    return names


def most_in_window(times: list[float], window: float) -> int:
    """Returns the largest number of times within any window in seconds."""
    return max(
        (
            sum(start <= when < start + window for when in times)
            for start in times
        ),
        default=0,
    )


def arrival(path: str = '/read/1', key: str | None = KEY) -> Arrival:
    """Returns a request as read from a caller."""
    request = CallerRequest('GET', path, (), b'')
    return Arrival(request, 'jobs.example', path, key, 'a1', 2)


def accepted(kernel: Kernel, path: str, now: float = 0) -> Call:
    """Returns the state of an accepted request."""
    call = kernel.service('acceptance').accept(arrival(path), Instant(now))
    assert isinstance(call, Call)
    return call


def pick(
    kernel: Kernel, allow_trial: bool, now: float, *exclude: str
) -> Pick | None:
    """Returns the server picked for an attempt, or None."""
    return kernel.service('balance').pick(
        'job', allow_trial, frozenset(exclude), Instant(now)
    )


def record_attempt(
    kernel: Kernel,
    server: str,
    now: float,
    result: AttemptResult = COMPLETE,
    status: int | None = 500,
) -> None:
    """Records an attempt that took 0.1 s and ended, by default with a 500."""
    health = kernel.service('health')
    attempt = health.started(server, 'job', Instant(now - 0.1))
    health.finished(attempt, result, status, Instant(now))
