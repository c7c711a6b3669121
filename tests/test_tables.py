"""Tests that compare the packed tables with plain dictionaries."""

import random

import pytest

from teaselcove import packing, tables
from teaselcove.entities import Key, Organisation, Route, Server, Service

PACKINGS = {found.kind: found for found in packing.PACKINGS}
STEPS = 400


def make(kind: str, number: int, generator: random.Random) -> object:
    """Returns an entity with values of varying types and lengths."""
    value = generator.randint(0, 99)
    text = generator.choice(['', 'é', '0', '00ff', '0G', 'x' * value])
    match kind:
        case 'organisations':
            rate = generator.choice([1.0, 0.1, 2.5e-3, 1e6])
            return Organisation(f'o{number}', rate, value, text, rate)
        case 'keys':
            return Key(f'{number:02}', 'o1', text, text)
        case 'services':
            servers = tuple(
                Server(f's{number}-{place}', f'{value}:{place}', 'a')
                for place in range(value % 4)
            )
            return Service(f's{number}', value, servers, value > 50)
    prefix = f'/{"ab" * (number % 3)}{number}'
    return Route(
        f'r{number}', prefix, text, organisations=('o1',) * (value % 3)
    )


def prefix_length(route: Route) -> int:
    """Returns the length of a route's prefix."""
    return len(route.prefix)


@pytest.mark.parametrize('kind', sorted(PACKINGS))
@pytest.mark.parametrize('collide', [False, True])
class TestTable:
    """A table behaves like a dictionary."""

    def test_changes(
        self, kind: str, collide: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against rows that are lost, stale or mixed up."""
        monkeypatch.setattr(tables, 'MIN_GARBAGE_BYTES', 500)
        if collide:
            monkeypatch.setattr(tables, 'hash_text', len)
        generator = random.Random(kind)
        table = tables.Tables().by_kind[kind]
        expected = {}
        for _ in range(STEPS):
            size = generator.choice([1, 1, 1, 9])
            if expected and not generator.randrange(3):
                name = generator.choice(sorted(expected))
                expected.pop(name)
                table.remove(name)
            numbers = generator.sample(range(60), size)
            put = [make(kind, number, generator) for number in numbers]
            table.update([table.packing.pack(entity) for entity in put])
            expected.update({entity.id: entity for entity in put})
            lookup_id = f'{kind[0]}{generator.randrange(60)}'
            assert table.get(lookup_id) == expected.get(lookup_id)
        assert dict(table) == expected
        self.check_indexes(kind, table, expected)

    def check_indexes(self, kind: str, table: object, expected: dict) -> None:
        """Checks look-ups by prefix and by server."""
        if kind == 'routes':
            for path in ('/', '/1', '/12', '/ab4/x', '/abab50', '/abab5'):
                matching = [
                    route
                    for route in expected.values()
                    if path.startswith(route.prefix)
                ]
                matching.sort(key=prefix_length)
                best = matching[-1] if matching else None
                assert table.match(path) == best
        if kind == 'services':
            for found in expected.values():
                for server in found.servers:
                    assert table.server_address(server.id) == server.address
            assert table.server_address('none') is None
