"""Reader of the directory in which operators declare the configuration."""

from pathlib import Path
from typing import Any

import msgspec

from teaselcove import jsonc
from teaselcove.checks import CHECKS
from teaselcove.entities import (
    Entities,
    Key,
    Organisation,
    Route,
    Service,
)
from teaselcove.errors import FieldError, TeaselcoveError
from teaselcove.records import KINDS
from teaselcove.settings import convert_value

PATTERN = '*.jsonc'

TYPES: dict[str, type] = {
    'organisations': Organisation,
    'keys': Key,
    'services': Service,
    'routes': Route,
}


class DocumentsError(TeaselcoveError):
    """A directory does not declare a valid configuration.

    Attributes:
        errors: All errors found, by file and line.
    """

    def __init__(self, errors: list[FieldError]) -> None:
        self.errors = sorted(errors, key=lambda error: (error.path, error.line))
        super().__init__('\n'.join(str(error) for error in self.errors))


class Placed(msgspec.Struct, frozen=True):
    """An entity with the place of its declaration."""

    kind: str
    entity: Any
    document: jsonc.Document
    field_path: jsonc.FieldPath

    @property
    def place(self) -> str:
        """File and line of the declaration."""
        return self.place_of(())

    def place_of(self, below: jsonc.FieldPath) -> str:
        """Returns file and line of a part of the declaration."""
        line = self.document.line_of((*self.field_path, *below))
        return f'{self.document.path}:{line}'

    def error(self, below: jsonc.FieldPath, problem: str) -> FieldError:
        """Returns an error about a field of the entity."""
        return self.document.error((*self.field_path, *below), problem)


class Directory:
    """The parsed files of a directory, with the errors found so far."""

    def __init__(self) -> None:
        self.placed: dict[str, list[Placed]] = {kind: [] for kind in KINDS}
        self.errors: list[FieldError] = []

    def add_file(self, path: Path) -> None:
        """Reads the entities of a file."""
        try:
            document = jsonc.load(path)
        except FieldError as error:
            self.errors.append(error)
            return
        if not isinstance(document.root, dict):
            self.errors.append(document.error((), 'must be an object'))
            return
        for kind, found in document.root.items():
            self.add_list(document, kind, found)

    def add_list(self, document: jsonc.Document, kind: str, found: Any) -> None:
        """Reads the entities of one list."""
        if kind not in KINDS:
            known = ', '.join(KINDS)
            problem = f'unknown field; known: {known}'
            self.errors.append(document.error((kind,), problem))
        elif isinstance(found, list):
            for index, declared in enumerate(found):
                self.add_entity(document, (kind, index), declared)
        else:
            self.errors.append(document.error((kind,), 'must be a list'))

    def add_entity(
        self,
        document: jsonc.Document,
        field_path: jsonc.FieldPath,
        declared: Any,
    ) -> None:
        """Reads one entity and checks its own fields."""
        kind = str(field_path[0])
        try:
            entity = convert_value(document, field_path, declared, TYPES[kind])
        except FieldError as error:
            self.errors.append(error)
            return
        placed = Placed(kind, entity, document, field_path)
        self.placed[kind].append(placed)
        for below, problem in CHECKS[kind](entity):
            self.errors.append(placed.error(below, problem))

    def entities(self, kind: str) -> dict[str, Placed]:
        """Returns the entities of a kind by id; notes repeated ids."""
        found: dict[str, Placed] = {}
        for placed in self.placed[kind]:
            first = found.setdefault(placed.entity.id, placed)
            if first is not placed:
                problem = f'duplicate id, first declared at {first.place}'
                self.errors.append(placed.error(('id',), problem))
        return found

    def check_references(self) -> None:
        """Notes references to entities that are not declared."""
        found = {kind: self.entities(kind) for kind in KINDS}
        organisations = found['organisations']
        for key in self.placed['keys']:
            if key.entity.organisation not in organisations:
                self.note_missing(key, 'organisation', key.entity.organisation)
        for route in self.placed['routes']:
            if route.entity.service not in found['services']:
                self.note_missing(route, 'service', route.entity.service)
            for index, name in enumerate(route.entity.organisations):
                if name not in organisations:
                    below = ('organisations', index)
                    self.errors.append(
                        route.error(below, f'no organisation {name!r}')
                    )

    def note_missing(self, placed: Placed, field: str, name: str) -> None:
        """Notes a reference to an entity that is not declared."""
        problem = f'no {field} {name!r} is declared'
        self.errors.append(placed.error((field,), problem))

    def check_prefixes(self) -> None:
        """Notes route prefixes that are declared twice."""
        first: dict[str, Placed] = {}
        for route in self.placed['routes']:
            holder = first.setdefault(route.entity.prefix, route)
            if holder is not route:
                problem = f'duplicate prefix, first declared at {holder.place}'
                self.errors.append(route.error(('prefix',), problem))

    def check_servers(self) -> None:
        """Notes ids of servers that are declared twice, in any service."""
        first: dict[str, str] = {}
        for service in self.placed['services']:
            for index, server in enumerate(service.entity.servers):
                place = first.get(server.id)
                below = ('servers', index)
                if place is not None:
                    problem = f'duplicate id, first declared at {place}'
                    self.errors.append(service.error((*below, 'id'), problem))
                first[server.id] = place or service.place_of(below)


def read(directory: Path) -> Entities:
    """Reads the configuration that a directory declares.

    Raises:
        DocumentsError: If a file is missing or not valid.
    """
    found = Directory()
    paths = sorted(directory.glob(PATTERN)) if directory.is_dir() else []
    if not paths:
        problem = f'no directory with files {PATTERN}'
        raise DocumentsError([FieldError(str(directory), 1, '', problem)])
    for path in paths:
        found.add_file(path)
    found.check_references()
    found.check_prefixes()
    found.check_servers()
    if found.errors:
        raise DocumentsError(found.errors)
    return Entities(
        *(
            tuple(placed.entity for placed in found.placed[kind])
            for kind in KINDS
        )
    )
