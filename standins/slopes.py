"""Costs that grow with the size of a deployment, measured and printed.

Run as `python -m standins.slopes [NAME ...]`. Each function of `SLOPES`
prints a table; a row is a size, and a column is a cost.
"""

import functools
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import fire

from teaselcove.entities import (
    Call,
    Entities,
    Key,
    Organisation,
    Route,
    Server,
    Service,
)
from teaselcove.fold import State, fold
from teaselcove.parts import Assembly, parts_of
from teaselcove.records import ApplyRecord, encode_record

# Numbers of entities to design for; see section 1.7 of the design.
ORGANISATIONS = 140_000
ROUTES = 28_000
SERVICES = 2_400
SERVERS = 45_000
SHARES = (0.1, 0.5, 1)

LOOKUPS = 20_000
FOLDS = 500
MICROSECONDS = 1_000_000
MEBIBYTE = 1024 * 1024
MILLISECONDS = 1000

# Records with which a measured configuration is filled.
BATCH = 1000


def organisation(number: int) -> Organisation:
    """Returns an organisation."""
    return Organisation(
        f'org-{number:06}', 10 + number % 90, 20, f'Village no. {number}'
    )


def key(number: int) -> Key:
    """Returns a key with a salt and hash that do not compress."""
    generator = random.Random(number)
    return Key(
        generator.randbytes(8).hex(),
        f'org-{number:06}',
        generator.randbytes(8).hex(),
        generator.randbytes(32).hex(),
    )


def service(number: int) -> Service:
    """Returns a service with its share of all servers."""
    start = SERVERS * number // SERVICES
    end = SERVERS * (number + 1) // SERVICES
    servers = tuple(
        Server(
            f'svc-{number:04}-{index - start}',
            f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}:8080',
            'ch-mittelland-a',
        )
        for index in range(start, end)
    )
    return Service(f'svc-{number:04}', len(servers) // 2, servers)


def route(number: int) -> Route:
    """Returns a route; the lengths of prefixes differ."""
    name = f'svc-{number % SERVICES:04}'
    return Route(
        f'route-{number:05}',
        f'/{name}/v{number % 3}/{"x" * (number % 7)}part-{number}',
        name,
        calls=(Call('GET', idempotent=True),),
    )


KINDS: dict[str, tuple[Callable[[int], Any], int]] = {
    'organisations': (organisation, ORGANISATIONS),
    'keys': (key, ORGANISATIONS),
    'services': (service, SERVICES),
    'routes': (route, ROUTES),
}


def batches(kind: str, count: int) -> Iterator[Entities]:
    """Yields entities of a kind in groups."""
    make = KINDS[kind][0]
    for start in range(0, count, BATCH):
        numbers = range(start, min(start + BATCH, count))
        yield Entities(**{kind: tuple(make(number) for number in numbers)})


def put(state: State, change: Entities) -> None:
    """Folds a change."""
    offset = state.next_offset
    record = ApplyRecord(f'apply-{offset}', state.version, change)
    fold(state, offset, encode_record(record))


def memory_of(build: Callable[[], Any]) -> tuple[Any, int]:
    """Returns what a function builds and the bytes that stay in use."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    return built, tracemalloc.get_traced_memory()[0] - before


def time_of(work: Callable[[Any], Any], items: list[Any]) -> float:
    """Returns the microseconds of a call, over some arguments."""
    start = time.perf_counter()
    for item in items:
        work(item)
    return (time.perf_counter() - start) / len(items) * MICROSECONDS


def print_table(title: str, names: list[str], rows: list[list[Any]]) -> None:
    """Prints rows under the names of their columns."""
    print(title)
    cells = [names, *([f'{cell:,}' for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = map(str.rjust, line, widths)
        print('  '.join(padded))
    print()


def configuration_memory() -> None:
    """Prints the bytes that each kind of entity takes in the tables."""
    tracemalloc.start()
    rows = []
    for share in SHARES:
        row: list[Any] = [share]
        total = 0
        for kind, (_, full) in KINDS.items():
            count = int(full * share)
            state, used = memory_of(functools.partial(filled, kind, count))
            total += used
            per = SERVERS * share if kind == 'services' else count
            row.append(round(used / per, 1))
            state.tables.by_kind.clear()
        rows.append([*row, round(total / MEBIBYTE, 2)])
    tracemalloc.stop()
    names = ['share', 'organisation B', 'key B', 'server B', 'route B']
    print_table('configuration_memory', [*names, 'all MiB'], rows)


def filled(kind: str, count: int) -> State:
    """Returns a configuration with some entities of one kind."""
    state = State()
    for change in batches(kind, count):
        put(state, change)
    state.winners.clear()
    return state


def whole(share: float) -> State:
    """Returns a configuration with entities of all kinds."""
    state = State()
    for kind, (_, full) in KINDS.items():
        for change in batches(kind, int(full * share)):
            put(state, change)
    return state


def changes_to(state: State, numbers: list[int]) -> list[bytes]:
    """Returns records that each change an organisation and a key."""
    return [
        encode_record(
            ApplyRecord(
                f'change-{place}',
                state.version + place,
                Entities((organisation(number + 1),), (key(number + 1),)),
            )
        )
        for place, number in enumerate(numbers)
    ]


def times_of(share: float) -> list[float]:
    """Returns the microseconds of look-ups and of a fold."""
    state = whole(share)
    tables = state.tables
    generator = random.Random(1)
    limit = int(ORGANISATIONS * share)
    numbers = [generator.randrange(limit) for _ in range(LOOKUPS)]
    keys = [key(number).id for number in numbers]
    count = int(ROUTES * share)
    paths = [f'{route(number % count).prefix}/7' for number in numbers]
    servers = int(SERVICES * share)
    names = [f'svc-{number % servers:04}-3' for number in numbers]
    changes = changes_to(state, numbers[:FOLDS])
    costs = [
        time_of(tables.by_kind['keys'].get, keys),
        time_of(tables.routes.match, paths),
        time_of(tables.services.server_address, names),
        time_of(lambda item: fold(state, state.next_offset, item), changes),
    ]
    return [round(cost, 1) for cost in costs]


def configuration_time() -> None:
    """Prints the time of look-ups and folds in a configuration."""
    print_table(
        'configuration_time, microseconds without cached entities',
        ['share', 'key', 'route', 'server', 'fold of organisation and key'],
        [[share, *times_of(share)] for share in SHARES],
    )


def snapshot_cost() -> None:
    """Prints the size of a snapshot and the time to write and read it."""
    rows = []
    for share in SHARES:
        state = whole(share)
        start = time.perf_counter()
        parts = parts_of(state)
        written = time.perf_counter()
        assembly = Assembly()
        for part in parts:
            assembly.add(part)
        assembly.best()
        read = time.perf_counter()
        size = sum(len(stored.payload) for stored in parts)
        rows.append(
            [
                share,
                len(parts),
                round(size / MEBIBYTE, 2),
                round((written - start) * MILLISECONDS),
                round((read - written) * MILLISECONDS),
            ]
        )
    names = ['share', 'parts', 'MiB', 'write ms', 'read ms']
    print_table('snapshot_cost', names, rows)


SLOPES = {
    'configuration_memory': configuration_memory,
    'configuration_time': configuration_time,
    'snapshot_cost': snapshot_cost,
}


def main(*names: str) -> None:
    """Prints the tables of some slopes, or of all."""
    for name in names or SLOPES:
        SLOPES[name]()


if __name__ == '__main__':
    fire.Fire(main)
