"""Difference between two configurations and the change that applies it."""

from collections.abc import Iterator
from typing import Any

import msgspec

from teaselcove.entities import (
    Entities,
    Key,
    Organisation,
    Route,
    Server,
    Service,
)
from teaselcove.fold import entities_digest
from teaselcove.ids import ApplyId, Version
from teaselcove.records import KINDS, ApplyRecord, Removed

SINGULAR = {
    'organisations': 'organisation',
    'keys': 'key',
    'services': 'service',
    'routes': 'route',
}


class Difference(msgspec.Struct, frozen=True):
    """The difference between two configurations.

    Attributes:
        put: Entities that are new or changed.
        removed: Entities that are no longer declared.
        digest: Digest of the configuration after the change.
        lines: Description of the change, a line per entity or field.
    """

    put: Entities
    removed: Removed
    digest: int
    lines: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether the configurations are equal."""
        return not self.lines

    def record(
        self, apply_id: ApplyId, base: Version, operator: str
    ) -> ApplyRecord:
        """Returns the log record of the change."""
        return ApplyRecord(
            apply_id, base, self.put, self.removed, self.digest, operator
        )


def difference(old: Entities, new: Entities) -> Difference:
    """Returns the difference between two configurations."""
    put: dict[str, tuple[Any, ...]] = {}
    removed: dict[str, tuple[Any, ...]] = {}
    lines: list[str] = []
    for kind in KINDS:
        before = {entity.id: entity for entity in getattr(old, kind)}
        after = {entity.id: entity for entity in getattr(new, kind)}
        put[kind] = tuple(
            entity
            for name, entity in sorted(after.items())
            if before.get(name) != entity
        )
        removed[kind] = tuple(sorted(set(before) - set(after)))
        for entity in put[kind]:
            lines.extend(put_lines(kind, before.get(entity.id), entity))
        for name in removed[kind]:
            lines.append(removal_line(kind, before[name]))
    return Difference(
        Entities(**put), Removed(**removed), entities_digest(new), tuple(lines)
    )


def put_lines(kind: str, old: Any, new: Any) -> Iterator[str]:
    """Yields the lines about a new or changed entity."""
    name = f'{SINGULAR[kind]} {new.id}'
    if old is None:
        yield f'+ {name}: {describe(new)}'
        return
    for field in new.__struct_fields__:
        before = getattr(old, field)
        after = getattr(new, field)
        if before != after and field == 'servers':
            yield from server_lines(name, before, after)
        elif before != after:
            yield f'~ {name}: {field} {to_json(before)} -> {to_json(after)}'


def removal_line(kind: str, entity: Any) -> str:
    """Returns the line about an entity that is no longer declared."""
    line = f'- {SINGULAR[kind]} {entity.id}'
    if isinstance(entity, Key):
        return f'{line} of organisation {entity.organisation}: withdrawn'
    return line


def server_lines(
    name: str, old: tuple[Server, ...], new: tuple[Server, ...]
) -> Iterator[str]:
    """Yields the lines about changed backend servers of a service."""
    before = {server.id: server for server in old}
    after = {server.id: server for server in new}
    same = [server.id for server in new if before.get(server.id) == server]
    for added in sorted(set(after) - set(before)):
        yield f'~ {name}: + server {added} {describe(after[added])}'
    for removed in sorted(set(before) - set(after)):
        yield f'~ {name}: - server {removed}'
    for kept in sorted((set(before) & set(after)) - set(same)):
        was, now = describe(before[kept]), describe(after[kept])
        yield f'~ {name}: server {kept} {was} -> {now}'
    if len(same) == len(old) == len(new):
        yield f'~ {name}: order of servers'


def describe(entity: Any) -> str:
    """Returns a short description of an entity."""
    match entity:
        case Organisation():
            return (
                f'rate {entity.rate:g}/s, burst {entity.burst}, '
                f'weight {entity.weight:g}'
            )
        case Key():
            return f'of organisation {entity.organisation}'
        case Server():
            return (
                f'at {entity.address} in zone {entity.zone} '
                f'with {entity.slots} slots'
            )
        case Service():
            return f'{len(entity.servers)} servers, floor {entity.floor}'
        case Route():
            return f'{entity.prefix} to service {entity.service}'
    return ''


def to_json(value: Any) -> str:
    """Returns the value of a field as JSON, as it is declared."""
    return msgspec.json.encode(value).decode()
