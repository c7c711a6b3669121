"""Packed tables of the entities of a configuration.

A table keeps its rows in one buffer and finds them through sorted arrays of
64-bit hashes, so that an entity costs its row plus 15 bytes.
"""

from array import array
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, TypeVar, cast

from teaselcove.entities import Entities, Route, Service
from teaselcove.packing import DIGEST_MASK, PACKINGS, Packing
from teaselcove.records import KINDS

EntityT = TypeVar('EntityT')

LENGTH_BYTES = 3
PLACE_BITS = 32
PLACE_MASK = (1 << PLACE_BITS) - 1

# Inserting one entry moves the tail of the arrays; from this share of the
# table on, sorting everything again is cheaper.
BULK_SHARE = 0.125

# Buffers below this size are not compacted.
MIN_GARBAGE_BYTES = 65536

# Decoded entities that a table keeps, for those that each request looks up.
CACHED_ENTITIES = 128


def hash_text(text: str) -> int:
    """Returns the hash under which a table finds a text.

    It differs between processes, so it never leaves one.
    """
    return hash(text) & DIGEST_MASK


class HashIndex:
    """Sorted hashes of texts, each with the place of a row."""

    def __init__(self) -> None:
        self.hashes = array('Q')
        self.places = array('I')

    def find(self, text: str) -> Iterator[int]:
        """Yields the places of all rows whose text has the same hash."""
        wanted = hash_text(text)
        index = bisect_left(self.hashes, wanted)
        while index < len(self.hashes) and self.hashes[index] == wanted:
            yield self.places[index]
            index += 1

    def position(self, text: str, place: int) -> int:
        """Returns the position of an entry that exists."""
        wanted = hash_text(text)
        index = bisect_left(self.hashes, wanted)
        return self.places.index(place, index)

    def add(self, text: str, place: int) -> None:
        """Adds an entry."""
        wanted = hash_text(text)
        index = bisect_left(self.hashes, wanted)
        self.hashes.insert(index, wanted)
        self.places.insert(index, place)

    def remove(self, text: str, place: int) -> None:
        """Removes an entry that exists."""
        index = self.position(text, place)
        self.hashes.pop(index)
        self.places.pop(index)

    def rebuild(self, entries: Iterable[tuple[str, int]]) -> None:
        """Replaces all entries."""
        joined = sorted(
            (hash_text(text) << PLACE_BITS) | place for text, place in entries
        )
        self.hashes = array('Q', (entry >> PLACE_BITS for entry in joined))
        self.places = array('I', (entry & PLACE_MASK for entry in joined))


class Table(Mapping[str, EntityT]):
    """Entities of one kind by id."""

    def __init__(self, packing: Packing) -> None:
        self.packing = packing
        self.rows = bytearray()
        self.garbage = 0
        self.by_id = HashIndex()
        self.cache: dict[str, EntityT] = {}

    def __len__(self) -> int:
        return len(self.by_id.places)

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(entity.id for entity in self.entities()))

    def __getitem__(self, name: str) -> EntityT:
        cached = self.cache.get(name)
        if cached is not None:
            return cached
        for place in self.by_id.find(name):
            entity = self.unpack_at(place)
            if entity.id == name:
                return self.keep(name, entity)
        raise KeyError(name)

    def keep(self, name: str, entity: EntityT) -> EntityT:
        """Keeps a decoded entity for the next look-up."""
        if len(self.cache) >= CACHED_ENTITIES:
            self.cache.clear()
        self.cache[name] = entity
        return entity

    def entities(self) -> Iterator[EntityT]:
        """Yields all entities in no stated order, one at a time."""
        for place in self.by_id.places:
            yield self.unpack_at(place)

    def packed_rows(self) -> Iterator[bytes]:
        """Yields all rows in no stated order."""
        for place in self.by_id.places:
            yield self.row_at(place)

    def row(self, name: str) -> bytes | None:
        """Returns the row of an id, or None."""
        try:
            return self.row_at(self.place_of(name))
        except KeyError:
            return None

    def place_of(self, name: str) -> int:
        """Returns the place of an id.

        Raises:
            KeyError: If there is no such entity.
        """
        for place in self.by_id.find(name):
            if self.unpack_at(place).id == name:
                return place
        raise KeyError(name)

    def row_at(self, place: int) -> bytes:
        """Returns the row at a place."""
        start = place + LENGTH_BYTES
        length = int.from_bytes(self.rows[place:start], 'big')
        return bytes(self.rows[start : start + length])

    def unpack_at(self, place: int) -> Any:
        """Returns the entity at a place."""
        return self.packing.unpack(self.row_at(place))

    def update(self, rows: list[bytes]) -> None:
        """Adds or replaces entities, given as rows with distinct ids."""
        if len(rows) > len(self) * BULK_SHARE + 1:
            self.load(rows)
            return
        for row in rows:
            entity = self.packing.unpack(row)
            self.remove(entity.id)
            self.index(entity, self.append(row))

    def load(self, rows: Iterable[bytes]) -> None:
        """Adds or replaces many entities and builds the indexes again."""
        for row in rows:
            self.by_id.places.append(self.append(row))
        places = {}
        for place in self.by_id.places:
            places[self.unpack_at(place).id] = place
        self.keep_places(sorted(places.values()))

    def remove(self, name: str) -> None:
        """Removes an entity if it exists."""
        self.cache.pop(name, None)
        try:
            place = self.place_of(name)
        except KeyError:
            return
        self.unindex(self.unpack_at(place), place)
        self.garbage += LENGTH_BYTES + len(self.row_at(place))
        spare = max(MIN_GARBAGE_BYTES, len(self.rows) // 4)
        if self.garbage > spare:
            self.keep_places(sorted(self.by_id.places))

    def append(self, row: bytes) -> int:
        """Adds a row to the buffer; returns its place."""
        place = len(self.rows)
        self.rows += len(row).to_bytes(LENGTH_BYTES, 'big')
        self.rows += row
        return place

    def keep_places(self, places: list[int]) -> None:
        """Drops all rows but those at some places, in ascending order."""
        kept = bytearray()
        moved = array('I')
        for place in places:
            moved.append(len(kept))
            end = place + LENGTH_BYTES + len(self.row_at(place))
            kept += self.rows[place:end]
        self.rows = kept
        self.garbage = 0
        self.cache.clear()
        self.rebuild(moved)

    def rebuild(self, places: Sequence[int]) -> None:
        """Builds the indexes for rows at some places."""
        self.by_id.rebuild(
            (self.unpack_at(place).id, place) for place in places
        )

    def index(self, entity: Any, place: int) -> None:
        """Adds an entity to the indexes."""
        self.by_id.add(entity.id, place)

    def unindex(self, entity: Any, place: int) -> None:
        """Removes an entity from the indexes."""
        self.by_id.remove(entity.id, place)


class RouteTable(Table[Route]):
    """Routes by id and by the longest prefix of a path."""

    def __init__(self, packing: Packing) -> None:
        super().__init__(packing)
        self.by_prefix = HashIndex()
        self.lengths: Counter[int] = Counter()
        self.descending: list[int] = []
        self.by_path: dict[str, Route] = {}

    def match(self, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Only the lengths that some prefix has are looked up.
        """
        for length in self.descending:
            if length <= len(path):
                found = self.with_prefix(path[:length])
                if found is not None:
                    return found
        return None

    def with_prefix(self, prefix: str) -> Route | None:
        """Returns the route of exactly a prefix, or None."""
        cached = self.by_path.get(prefix)
        if cached is not None:
            return cached
        for place in self.by_prefix.find(prefix):
            route = self.unpack_at(place)
            if route.prefix == prefix:
                return self.keep_path(prefix, route)
        return None

    def keep_path(self, prefix: str, route: Route) -> Route:
        """Keeps a decoded route for the next look-up."""
        if len(self.by_path) >= CACHED_ENTITIES:
            self.by_path.clear()
        self.by_path[prefix] = route
        return route

    def rebuild(self, places: Sequence[int]) -> None:
        """Builds the indexes for rows at some places."""
        super().rebuild(places)
        self.by_path.clear()
        self.by_prefix.rebuild(
            (self.unpack_at(place).prefix, place) for place in places
        )
        self.lengths = Counter(len(route.prefix) for route in self.entities())
        self.sort_lengths()

    def index(self, entity: Route, place: int) -> None:
        """Adds a route to the indexes."""
        super().index(entity, place)
        self.by_prefix.add(entity.prefix, place)
        self.lengths[len(entity.prefix)] += 1
        self.sort_lengths()

    def unindex(self, entity: Route, place: int) -> None:
        """Removes a route from the indexes."""
        super().unindex(entity, place)
        self.by_path.pop(entity.prefix, None)
        self.by_prefix.remove(entity.prefix, place)
        self.lengths[len(entity.prefix)] -= 1
        self.sort_lengths()

    def sort_lengths(self) -> None:
        """Notes which lengths of a prefix occur, longest first."""
        self.lengths += Counter()
        self.descending = sorted(self.lengths, reverse=True)


class ServiceTable(Table[Service]):
    """Services by id and by the ids of their backend servers."""

    def __init__(self, packing: Packing) -> None:
        super().__init__(packing)
        self.by_server = HashIndex()
        self.addresses: dict[str, str] = {}

    def server_address(self, name: str) -> str | None:
        """Returns the address of a backend server, or None."""
        cached = self.addresses.get(name)
        if cached is not None:
            return cached
        for place in self.by_server.find(name):
            for server in self.unpack_at(place).servers:
                if server.id == name:
                    self.keep_address(name, server.address)
                    return server.address
        return None

    def keep_address(self, name: str, address: str) -> None:
        """Keeps an address for the next look-up."""
        if len(self.addresses) >= CACHED_ENTITIES:
            self.addresses.clear()
        self.addresses[name] = address

    def rebuild(self, places: Sequence[int]) -> None:
        """Builds the indexes for rows at some places."""
        super().rebuild(places)
        self.addresses.clear()
        self.by_server.rebuild(
            (server.id, place)
            for place in places
            for server in self.unpack_at(place).servers
        )

    def index(self, entity: Service, place: int) -> None:
        """Adds a service to the indexes."""
        super().index(entity, place)
        for server in entity.servers:
            self.by_server.add(server.id, place)

    def unindex(self, entity: Service, place: int) -> None:
        """Removes a service from the indexes."""
        super().unindex(entity, place)
        self.addresses.clear()
        for server in entity.servers:
            self.by_server.remove(server.id, place)


FACTORIES: dict[str, type[Table[Any]]] = {
    'services': ServiceTable,
    'routes': RouteTable,
}


class Tables:
    """The packed tables of all kinds."""

    def __init__(self) -> None:
        self.by_kind: dict[str, Table[Any]] = {}
        for packing in PACKINGS:
            factory = FACTORIES.get(packing.kind, Table)
            self.by_kind[packing.kind] = factory(packing)

    @property
    def services(self) -> ServiceTable:
        """The services."""
        return cast(ServiceTable, self.by_kind['services'])

    @property
    def routes(self) -> RouteTable:
        """The routes."""
        return cast(RouteTable, self.by_kind['routes'])

    def find(self, kind: str, name: str) -> Any:
        """Returns the entity of a kind and id, or None."""
        return self.by_kind[kind].get(name)

    def entities(self) -> Entities:
        """Returns the exact content, each kind in order of ids."""
        return Entities(*(tuple(self.by_kind[kind].values()) for kind in KINDS))
