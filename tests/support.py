"""Helpers that build a kernel with a small configuration."""

import msgspec

from teaselcove import keys
from teaselcove.configuration import STREAM, ApplyRecord
from teaselcove.core import Kernel
from teaselcove.entities import (
    Call,
    Entities,
    Organisation,
    Route,
    Server,
    Service,
)
from teaselcove.events import HostEntry, HostsListed, RecordsRead
from teaselcove.ids import Instant
from teaselcove.settings import HostSettings, PolicySettings

ORGANISATION = Organisation('village', rate=10, burst=4)
KEY, KEY_TEXT = keys.issue(ORGANISATION.id)
SERVERS = tuple(
    Server(f'job-{index}', f'127.0.0.{index}:80', 'a', slots=3)
    for index in range(1, 5)
)
ROUTE = Route(
    'jobs',
    '/jobs',
    'job',
    timeout_ms=1000,
    calls=(Call('GET', idempotent=True),),
)
ENTITIES = Entities(
    organisations=(ORGANISATION,),
    keys=(KEY,),
    services=(Service('job', 2, SERVERS),),
    routes=(ROUTE,),
)


def host_entry(index: int, zone: str = 'a') -> HostEntry:
    """Returns the list entry of a live host."""
    return HostEntry(
        f'host-{index}',
        index,
        zone,
        f'127.0.1.{index}:8000',
        f'127.0.1.{index}:9000',
    )


def make_settings(**policies: str) -> HostSettings:
    """Returns the settings of `host-1`."""
    return HostSettings(
        'host-1',
        'a',
        '127.0.1.1',
        8000,
        9000,
        'http://127.0.0.1:1',
        'http://127.0.0.1:2',
        policies=PolicySettings(**policies),
    )


def records(base: int, *entities: Entities) -> RecordsRead:
    """Returns the log records from an offset, one for each `entities`."""
    payloads = tuple(
        (
            base + index,
            msgspec.json.encode(
                ApplyRecord(f'apply-{base + index}', base + index, entity)
            ),
        )
        for index, entity in enumerate(entities)
    )
    return RecordsRead(STREAM, base, 0, base + len(entities), payloads)


def make_kernel(
    now: float = 0, entities: Entities = ENTITIES, **policies: str
) -> Kernel:
    """Returns a started kernel whose only host is `host-1`."""
    policies = {'limiter': 'unlimited', **policies}
    kernel = Kernel(make_settings(**policies), seed=1)
    kernel.start(Instant(now))
    kernel.handle(HostsListed((host_entry(1),)), Instant(now))
    kernel.handle(records(0, entities), Instant(now))
    return kernel
