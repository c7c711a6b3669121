"""Registries of services and policies, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

from teaselcove.errors import DuplicateEntryError, UnknownEntryError

EntryT = TypeVar('EntryT')


class Registry(Generic[EntryT]):
    """Maps names to registered entries of one kind."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, EntryT] = {}

    def register(self, name: str) -> Callable[[EntryT], EntryT]:
        """Returns a decorator that registers an entry under a name.

        Raises:
            DuplicateEntryError: If the name is already registered.
        """

        def decorator(entry: EntryT) -> EntryT:  # noqa: WPS430
            if name in self.entries:
                raise DuplicateEntryError(self.kind, name)
            self.entries[name] = entry
            return entry

        return decorator

    def get(self, name: str) -> EntryT:
        """Returns the entry registered under a name.

        Raises:
            UnknownEntryError: If the name is not registered.
        """
        if name not in self.entries:
            raise UnknownEntryError(self.kind, name, self.names())
        return self.entries[name]

    def names(self) -> list[str]:
        """Returns the names of all entries in alphabetical order."""
        return sorted(self.entries)
