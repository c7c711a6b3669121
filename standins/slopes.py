"""Measures costs that grow with the size of a deployment.

Run as `python -m standins.slopes [NAME ...]`. Each function in `SLOPES` prints
a table with a row for each size and a column for each cost.
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
from teaselcove.parts import Assembly, split_into_parts
from teaselcove.records import ApplyRecord, encode_record

# Numbers of entities that the design targets; see section 1.7 of the design.
ORGANISATIONS = 140_000
ROUTES = 28_000
SERVICES = 2_400
SERVERS = 45_000
# Sizes to measure, as shares of these numbers.
SHARES = (0.1, 0.5, 1)

LOOKUP_COUNT = 20_000
FOLD_COUNT = 500
US_PER_S = 1_000_000
BYTES_PER_MIB = 1024 * 1024
MS_PER_S = 1000

# Number of entities per record when a configuration is filled.
BATCH_SIZE = 1000


def organisation(number: int) -> Organisation:
    """Returns an organisation."""
    return Organisation(
        f'org-{number:06}', 10 + number % 90, 20, f'Village no. {number}'
    )


def key(number: int) -> Key:
    """Returns a key with a random, incompressible salt and hash."""
    generator = random.Random(number)
    return Key(
        generator.randbytes(8).hex(),
        f'org-{number:06}',
        generator.randbytes(8).hex(),
        generator.randbytes(32).hex(),
    )


def service(number: int) -> Service:
    """Returns a service with an equal share of all servers."""
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
    """Returns a route; prefixes vary in length."""
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
    """Yields the entities of a kind in batches."""
    make = KINDS[kind][0]
    for start in range(0, count, BATCH_SIZE):
        numbers = range(start, min(start + BATCH_SIZE, count))
        yield Entities(**{kind: tuple(make(number) for number in numbers)})


def fold_change(state: State, change: Entities) -> None:
    """Encodes a change as the next record and folds it into the state."""
    offset = state.next_offset
    record = ApplyRecord(f'apply-{offset}', state.version, change)
    fold(state, offset, encode_record(record))


def measure_memory(build: Callable[[], Any]) -> tuple[Any, int]:
    """Returns the result of a function and the bytes that it retains."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    return built, tracemalloc.get_traced_memory()[0] - before


def measure_time(work: Callable[[Any], Any], items: list[Any]) -> float:
    """Returns the mean microseconds of a call over some arguments."""
    start = time.perf_counter()
    for item in items:
        work(item)
    return (time.perf_counter() - start) / len(items) * US_PER_S


def print_table(title: str, names: list[str], rows: list[list[Any]]) -> None:
    """Prints a table with right-aligned columns."""
    print(title)
    cells = [names, *([f'{cell:,}' for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = map(str.rjust, line, widths)
        print('  '.join(padded))
    print()


def configuration_memory() -> None:
    """Prints the bytes that an entity of each kind takes in the tables."""
    tracemalloc.start()
    rows = []
    for share in SHARES:
        row: list[Any] = [share]
        total = 0
        for kind, (_, full_count) in KINDS.items():
            count = int(full_count * share)
            state, used = measure_memory(
                functools.partial(configuration_of, kind, count)
            )
            total += used
            entity_count = SERVERS * share if kind == 'services' else count
            row.append(round(used / entity_count, 1))
            state.tables.by_kind.clear()
        rows.append([*row, round(total / BYTES_PER_MIB, 2)])
    tracemalloc.stop()
    names = ['share', 'organisation B', 'key B', 'server B', 'route B']
    print_table('configuration_memory', [*names, 'all MiB'], rows)


def configuration_of(kind: str, count: int) -> State:
    """Returns a configuration with a number of entities of one kind."""
    state = State()
    for change in batches(kind, count):
        fold_change(state, change)
    state.winners.clear()
    return state


def full_configuration(share: float) -> State:
    """Returns a configuration with a share of the entities of all kinds."""
    state = State()
    for kind, (_, full_count) in KINDS.items():
        for change in batches(kind, int(full_count * share)):
            fold_change(state, change)
    return state


def change_records(state: State, numbers: list[int]) -> list[bytes]:
    """Returns records that each put one organisation and one key."""
    return [
        encode_record(
            ApplyRecord(
                f'change-{index}',
                state.version + index,
                Entities((organisation(number + 1),), (key(number + 1),)),
            )
        )
        for index, number in enumerate(numbers)
    ]


def configuration_times(share: float) -> list[float]:
    """Returns the mean microseconds of look-ups and of a fold."""
    state = full_configuration(share)
    tables = state.tables
    generator = random.Random(1)
    limit = int(ORGANISATIONS * share)
    numbers = [generator.randrange(limit) for _ in range(LOOKUP_COUNT)]
    keys = [key(number).id for number in numbers]
    count = int(ROUTES * share)
    paths = [f'{route(number % count).prefix}/7' for number in numbers]
    servers = int(SERVICES * share)
    names = [f'svc-{number % servers:04}-3' for number in numbers]
    changes = change_records(state, numbers[:FOLD_COUNT])
    costs = [
        measure_time(tables.by_kind['keys'].get, keys),
        measure_time(tables.routes.match, paths),
        measure_time(tables.services.server_address, names),
        measure_time(
            lambda item: fold(state, state.next_offset, item), changes
        ),
    ]
    return [round(cost, 1) for cost in costs]


def configuration_time() -> None:
    """Prints the time of look-ups and folds by configuration size."""
    print_table(
        'configuration_time, microseconds without cached entities',
        ['share', 'key', 'route', 'server', 'fold of organisation and key'],
        [[share, *configuration_times(share)] for share in SHARES],
    )


def snapshot_cost() -> None:
    """Prints the size of a snapshot and the time to encode and decode it."""
    rows = []
    for share in SHARES:
        state = full_configuration(share)
        start = time.perf_counter()
        parts = split_into_parts(state)
        written_at = time.perf_counter()
        assembly = Assembly()
        for part in parts:
            assembly.add(part)
        assembly.newest_complete()
        read_at = time.perf_counter()
        size = sum(len(stored.payload) for stored in parts)
        rows.append(
            [
                share,
                len(parts),
                round(size / BYTES_PER_MIB, 2),
                round((written_at - start) * MS_PER_S),
                round((read_at - written_at) * MS_PER_S),
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
    """Prints the tables of the named measurements, or of all."""
    for name in names or SLOPES:
        SLOPES[name]()


if __name__ == '__main__':
    fire.Fire(main)
