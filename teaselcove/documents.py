"""Loads the directory in which operators declare the configuration."""

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
    """Raised if a directory does not declare a valid configuration.

    Attributes:
        errors: All errors, sorted by file and line.
    """

    def __init__(self, errors: list[FieldError]) -> None:
        self.errors = sorted(errors, key=lambda error: (error.path, error.line))
        super().__init__('\n'.join(str(error) for error in self.errors))


class Declaration(msgspec.Struct, frozen=True):
    """An entity and the location of its declaration."""

    kind: str
    entity: Any
    document: jsonc.Document
    field_path: jsonc.FieldPath

    @property
    def location(self) -> str:
        """File and line of the declaration."""
        return self.location_of(())

    def location_of(self, subpath: jsonc.FieldPath) -> str:
        """Returns the file and line of a part of the declaration."""
        line = self.document.line_of((*self.field_path, *subpath))
        return f'{self.document.path}:{line}'

    def error(self, subpath: jsonc.FieldPath, problem: str) -> FieldError:
        """Returns an error about a field of the entity."""
        return self.document.error((*self.field_path, *subpath), problem)


class Directory:
    """The parsed files of a directory and the errors found so far."""

    def __init__(self) -> None:
        self.declarations: dict[str, list[Declaration]] = {
            kind: [] for kind in KINDS
        }
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
        for kind, value in document.root.items():
            self.add_list(document, kind, value)

    def add_list(self, document: jsonc.Document, kind: str, value: Any) -> None:
        """Reads the entities of one list."""
        if kind not in KINDS:
            known = ', '.join(KINDS)
            problem = f'unknown field; known: {known}'
            self.errors.append(document.error((kind,), problem))
        elif isinstance(value, list):
            for index, declared in enumerate(value):
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
        declaration = Declaration(kind, entity, document, field_path)
        self.declarations[kind].append(declaration)
        for subpath, problem in CHECKS[kind](entity):
            self.errors.append(declaration.error(subpath, problem))

    def entities_by_id(self, kind: str) -> dict[str, Declaration]:
        """Returns the entities of a kind by id; adds errors for duplicates."""
        by_id: dict[str, Declaration] = {}
        for declaration in self.declarations[kind]:
            first = by_id.setdefault(declaration.entity.id, declaration)
            if first is not declaration:
                problem = f'duplicate id, first declared at {first.location}'
                self.errors.append(declaration.error(('id',), problem))
        return by_id

    def check_references(self) -> None:
        """Adds errors for references to entities that are not declared."""
        by_kind = {kind: self.entities_by_id(kind) for kind in KINDS}
        organisations = by_kind['organisations']
        for key in self.declarations['keys']:
            if key.entity.organisation not in organisations:
                self.add_missing_reference(
                    key, 'organisation', key.entity.organisation
                )
        for route in self.declarations['routes']:
            if route.entity.service not in by_kind['services']:
                self.add_missing_reference(
                    route, 'service', route.entity.service
                )
            for index, name in enumerate(route.entity.organisations):
                if name not in organisations:
                    subpath = ('organisations', index)
                    self.errors.append(
                        route.error(subpath, f'no organisation {name!r}')
                    )

    def add_missing_reference(
        self, declaration: Declaration, field: str, name: str
    ) -> None:
        """Adds an error for a reference to an undeclared entity."""
        problem = f'no {field} {name!r} is declared'
        self.errors.append(declaration.error((field,), problem))

    def check_prefixes(self) -> None:
        """Adds errors for route prefixes that are declared twice."""
        first: dict[str, Declaration] = {}
        for route in self.declarations['routes']:
            original = first.setdefault(route.entity.prefix, route)
            if original is not route:
                problem = (
                    f'duplicate prefix, first declared at {original.location}'
                )
                self.errors.append(route.error(('prefix',), problem))

    def check_servers(self) -> None:
        """Adds errors for server ids that are declared more than once."""
        first: dict[str, str] = {}
        for service in self.declarations['services']:
            for index, server in enumerate(service.entity.servers):
                location = first.get(server.id)
                subpath = ('servers', index)
                if location is not None:
                    problem = f'duplicate id, first declared at {location}'
                    self.errors.append(service.error((*subpath, 'id'), problem))
                first[server.id] = location or service.location_of(subpath)


def read(directory: Path) -> Entities:
    """Reads the configuration that a directory declares.

    Raises:
        DocumentsError: If there are no files or the content is not valid.
    """
    declared = Directory()
    paths = sorted(directory.glob(PATTERN)) if directory.is_dir() else []
    if not paths:
        problem = f'no directory with files matching {PATTERN}'
        raise DocumentsError([FieldError(str(directory), 1, '', problem)])
    for path in paths:
        declared.add_file(path)
    declared.check_references()
    declared.check_prefixes()
    declared.check_servers()
    if declared.errors:
        raise DocumentsError(declared.errors)
    return Entities(
        *(
            tuple(
                declaration.entity
                for declaration in declared.declarations[kind]
            )
            for kind in KINDS
        )
    )
