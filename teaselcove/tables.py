"""Packed in-memory tables of the entities of a configuration.

A table stores its rows in one buffer and finds them through sorted arrays of
64-bit hashes, so an entity takes 15 bytes in addition to its row.
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
OFFSET_BITS = 32
OFFSET_MASK = (1 << OFFSET_BITS) - 1

# Inserting an entry moves the tail of the arrays. An update of more than this
# fraction of the table is cheaper with a full rebuild of the indexes.
BULK_FRACTION = 0.125

# Bytes of removed rows up to which a buffer is not compacted.
MIN_GARBAGE_BYTES = 65536

# Decoded entities cached per table, for those looked up by every request.
MAX_CACHED_ENTITIES = 128


def hash_text(text: str) -> int:
    """Returns the hash of a text for the indexes.

    It differs between processes, so it must not be stored or sent.
    """
    return hash(text) & DIGEST_MASK


class HashIndex:
    """Sorted hashes of texts, each with the buffer offset of a row."""

    def __init__(self) -> None:
        self.hashes = array('Q')
        self.offsets = array('I')

    def find(self, text: str) -> Iterator[int]:
        """Yields the offsets of all rows whose text has the same hash."""
        text_hash = hash_text(text)
        index = bisect_left(self.hashes, text_hash)
        while index < len(self.hashes) and self.hashes[index] == text_hash:
            yield self.offsets[index]
            index += 1

    def index_of(self, text: str, offset: int) -> int:
        """Returns the index of an existing entry."""
        text_hash = hash_text(text)
        index = bisect_left(self.hashes, text_hash)
        return self.offsets.index(offset, index)

    def add(self, text: str, offset: int) -> None:
        """Adds an entry."""
        text_hash = hash_text(text)
        index = bisect_left(self.hashes, text_hash)
        self.hashes.insert(index, text_hash)
        self.offsets.insert(index, offset)

    def remove(self, text: str, offset: int) -> None:
        """Removes an existing entry."""
        index = self.index_of(text, offset)
        self.hashes.pop(index)
        self.offsets.pop(index)

    def rebuild(self, entries: Iterable[tuple[str, int]]) -> None:
        """Replaces all entries."""
        packed = sorted(
            (hash_text(text) << OFFSET_BITS) | offset
            for text, offset in entries
        )
        self.hashes = array('Q', (entry >> OFFSET_BITS for entry in packed))
        self.offsets = array('I', (entry & OFFSET_MASK for entry in packed))


class Table(Mapping[str, EntityT]):
    """Packed entities of one kind, looked up by id."""

    def __init__(self, packing: Packing) -> None:
        self.packing = packing
        self.rows = bytearray()
        self.garbage_bytes = 0
        self.by_id = HashIndex()
        self.cache: dict[str, EntityT] = {}

    def __len__(self) -> int:
        return len(self.by_id.offsets)

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(entity.id for entity in self.entities()))

    def __getitem__(self, name: str) -> EntityT:
        cached = self.cache.get(name)
        if cached is not None:
            return cached
        for offset in self.by_id.find(name):
            entity = self.unpack_at(offset)
            if entity.id == name:
                return self.cache_entity(name, entity)
        raise KeyError(name)

    def cache_entity(self, name: str, entity: EntityT) -> EntityT:
        """Caches a decoded entity for later look-ups."""
        if len(self.cache) >= MAX_CACHED_ENTITIES:
            self.cache.clear()
        self.cache[name] = entity
        return entity

    def entities(self) -> Iterator[EntityT]:
        """Yields all entities, unsorted, decoding one at a time."""
        for offset in self.by_id.offsets:
            yield self.unpack_at(offset)

    def packed_rows(self) -> Iterator[bytes]:
        """Yields all rows in no particular order."""
        for offset in self.by_id.offsets:
            yield self.row_at(offset)

    def row(self, name: str) -> bytes | None:
        """Returns the row of the entity with an id, or None."""
        try:
            return self.row_at(self.offset_of(name))
        except KeyError:
            return None

    def offset_of(self, name: str) -> int:
        """Returns the offset of the row of an id.

        Raises:
            KeyError: If there is no such entity.
        """
        for offset in self.by_id.find(name):
            if self.unpack_at(offset).id == name:
                return offset
        raise KeyError(name)

    def row_at(self, offset: int) -> bytes:
        """Returns the row at an offset."""
        start = offset + LENGTH_BYTES
        length = int.from_bytes(self.rows[offset:start], 'big')
        return bytes(self.rows[start : start + length])

    def unpack_at(self, offset: int) -> Any:
        """Decodes the entity at an offset."""
        return self.packing.unpack(self.row_at(offset))

    def update(self, rows: list[bytes]) -> None:
        """Adds or replaces entities, given as rows with distinct ids."""
        if len(rows) > len(self) * BULK_FRACTION + 1:
            self.load(rows)
            return
        for row in rows:
            entity = self.packing.unpack(row)
            self.remove(entity.id)
            self.index(entity, self.append(row))

    def load(self, rows: Iterable[bytes]) -> None:
        """Adds or replaces many entities and rebuilds the indexes."""
        for row in rows:
            self.by_id.offsets.append(self.append(row))
        offsets = {}
        for offset in self.by_id.offsets:
            offsets[self.unpack_at(offset).id] = offset
        self.compact(sorted(offsets.values()))

    def remove(self, name: str) -> None:
        """Removes an entity if it exists."""
        self.cache.pop(name, None)
        try:
            offset = self.offset_of(name)
        except KeyError:
            return
        self.unindex(self.unpack_at(offset), offset)
        self.garbage_bytes += LENGTH_BYTES + len(self.row_at(offset))
        garbage_limit = max(MIN_GARBAGE_BYTES, len(self.rows) // 4)
        if self.garbage_bytes > garbage_limit:
            self.compact(sorted(self.by_id.offsets))

    def append(self, row: bytes) -> int:
        """Appends a row to the buffer and returns its offset."""
        offset = len(self.rows)
        self.rows += len(row).to_bytes(LENGTH_BYTES, 'big')
        self.rows += row
        return offset

    def compact(self, offsets: list[int]) -> None:
        """Removes all rows except those at the given ascending offsets."""
        kept = bytearray()
        new_offsets = array('I')
        for offset in offsets:
            new_offsets.append(len(kept))
            end = offset + LENGTH_BYTES + len(self.row_at(offset))
            kept += self.rows[offset:end]
        self.rows = kept
        self.garbage_bytes = 0
        self.cache.clear()
        self.rebuild(new_offsets)

    def rebuild(self, offsets: Sequence[int]) -> None:
        """Rebuilds the indexes for the rows at the given offsets."""
        self.by_id.rebuild(
            (self.unpack_at(offset).id, offset) for offset in offsets
        )

    def index(self, entity: Any, offset: int) -> None:
        """Adds an entity to the indexes."""
        self.by_id.add(entity.id, offset)

    def unindex(self, entity: Any, offset: int) -> None:
        """Removes an entity from the indexes."""
        self.by_id.remove(entity.id, offset)


class RouteTable(Table[Route]):
    """Routes by id and by the longest prefix of a path."""

    def __init__(self, packing: Packing) -> None:
        super().__init__(packing)
        self.by_prefix = HashIndex()
        self.prefix_lengths: Counter[int] = Counter()
        self.sorted_prefix_lengths: list[int] = []
        self.prefix_cache: dict[str, Route] = {}

    def match(self, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Only lengths that occur among the prefixes are looked up.
        """
        for length in self.sorted_prefix_lengths:
            if length <= len(path):
                found = self.find_by_prefix(path[:length])
                if found is not None:
                    return found
        return None

    def find_by_prefix(self, prefix: str) -> Route | None:
        """Returns the route with exactly the given prefix, or None."""
        cached = self.prefix_cache.get(prefix)
        if cached is not None:
            return cached
        for offset in self.by_prefix.find(prefix):
            route = self.unpack_at(offset)
            if route.prefix == prefix:
                return self.cache_route(prefix, route)
        return None

    def cache_route(self, prefix: str, route: Route) -> Route:
        """Caches a decoded route for later look-ups."""
        if len(self.prefix_cache) >= MAX_CACHED_ENTITIES:
            self.prefix_cache.clear()
        self.prefix_cache[prefix] = route
        return route

    def rebuild(self, offsets: Sequence[int]) -> None:
        """Rebuilds the indexes for the rows at the given offsets."""
        super().rebuild(offsets)
        self.prefix_cache.clear()
        self.by_prefix.rebuild(
            (self.unpack_at(offset).prefix, offset) for offset in offsets
        )
        self.prefix_lengths = Counter(
            len(route.prefix) for route in self.entities()
        )
        self.update_sorted_lengths()

    def index(self, entity: Route, offset: int) -> None:
        """Adds a route to the indexes."""
        super().index(entity, offset)
        self.by_prefix.add(entity.prefix, offset)
        self.prefix_lengths[len(entity.prefix)] += 1
        self.update_sorted_lengths()

    def unindex(self, entity: Route, offset: int) -> None:
        """Removes a route from the indexes."""
        super().unindex(entity, offset)
        self.prefix_cache.pop(entity.prefix, None)
        self.by_prefix.remove(entity.prefix, offset)
        self.prefix_lengths[len(entity.prefix)] -= 1
        self.update_sorted_lengths()

    def update_sorted_lengths(self) -> None:
        """Updates the list of prefix lengths in use, longest first."""
        self.prefix_lengths += Counter()
        self.sorted_prefix_lengths = sorted(self.prefix_lengths, reverse=True)


class ServiceTable(Table[Service]):
    """Services by id and by the ids of their backend servers."""

    def __init__(self, packing: Packing) -> None:
        super().__init__(packing)
        self.by_server = HashIndex()
        self.service_cache: dict[str, Service] = {}

    def service_of(self, server_id: str) -> Service | None:
        """Returns the service of a backend server, or None."""
        cached = self.service_cache.get(server_id)
        if cached is not None:
            return cached
        for offset in self.by_server.find(server_id):
            service = self.unpack_at(offset)
            if any(server.id == server_id for server in service.servers):
                return self.cache_service(server_id, service)
        return None

    def cache_service(self, server_id: str, service: Service) -> Service:
        """Caches the service of a backend server for later look-ups."""
        if len(self.service_cache) >= MAX_CACHED_ENTITIES:
            self.service_cache.clear()
        self.service_cache[server_id] = service
        return service

    def server_address(self, server_id: str) -> str | None:
        """Returns the address of a backend server, or None."""
        service = self.service_of(server_id)
        for server in service.servers if service else ():
            if server.id == server_id:
                return server.address
        return None

    def rebuild(self, offsets: Sequence[int]) -> None:
        """Rebuilds the indexes for the rows at the given offsets."""
        super().rebuild(offsets)
        self.service_cache.clear()
        self.by_server.rebuild(
            (server.id, offset)
            for offset in offsets
            for server in self.unpack_at(offset).servers
        )

    def index(self, entity: Service, offset: int) -> None:
        """Adds a service to the indexes."""
        super().index(entity, offset)
        for server in entity.servers:
            self.by_server.add(server.id, offset)

    def unindex(self, entity: Service, offset: int) -> None:
        """Removes a service from the indexes."""
        super().unindex(entity, offset)
        self.service_cache.clear()
        for server in entity.servers:
            self.by_server.remove(server.id, offset)


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
        """The table of services."""
        return cast(ServiceTable, self.by_kind['services'])

    @property
    def routes(self) -> RouteTable:
        """The table of routes."""
        return cast(RouteTable, self.by_kind['routes'])

    def find(self, kind: str, name: str) -> Any:
        """Returns the entity with a kind and an id, or None."""
        return self.by_kind[kind].get(name)

    def entities(self) -> Entities:
        """Returns all entities, sorted by id within each kind."""
        return Entities(*(tuple(self.by_kind[kind].values()) for kind in KINDS))
