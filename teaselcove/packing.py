"""Packed encoding of entities: one msgpack row per entity.

The encoding is canonical: equal entities have equal rows. Digests are computed
from rows, and snapshots consist of rows.
"""

import hashlib
from collections.abc import Callable
from typing import Any

import msgspec

from teaselcove.entities import Call, Key, Organisation, Route, Server, Service

DIGEST_BYTES = 8
DIGEST_MASK = (1 << 64) - 1

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder().decode


class Packing(msgspec.Struct, frozen=True):
    """Encoding of the entities of one kind.

    Attributes:
        kind: Name of the kind's field in `Entities`.
        to_row: Converts an entity to its field values, the id first.
        from_row: Converts such values back to an entity.
    """

    kind: str
    to_row: Callable[[Any], tuple[Any, ...]]
    from_row: Callable[[list[Any]], Any]

    def pack(self, entity: Any) -> bytes:
        """Encodes an entity as a row."""
        return encode(self.to_row(entity))

    def unpack(self, row: bytes) -> Any:
        """Decodes the entity in a row.

        Raises:
            msgspec.MsgspecError: If the bytes are not a row.
        """
        return self.from_row(decode(row))

    def digest(self, row: bytes) -> int:
        """Returns the term that a row adds to the digest of a configuration."""
        hashed = hashlib.blake2b(
            row, digest_size=DIGEST_BYTES, person=self.kind.encode()
        )
        return int.from_bytes(hashed.digest(), 'big')


def compact_number(number: float) -> float | int:
    """Returns a whole number as an integer, which is encoded shorter."""
    return int(number) if number == int(number) else number


def pack_hex(text: str) -> str | bytes:
    """Returns lower-case hexadecimal text as bytes, other text unchanged."""
    try:
        packed = bytes.fromhex(text)
    except ValueError:
        return text
    return packed if packed.hex() == text else text


def unpack_hex(packed: str | bytes) -> str:
    """Reverses `pack_hex`."""
    return packed.hex() if isinstance(packed, bytes) else packed


def organisation_to_row(entity: Organisation) -> tuple[Any, ...]:
    """Returns the row values of an organisation."""
    return (
        entity.id,
        compact_number(entity.rate),
        entity.burst,
        entity.name,
        compact_number(entity.weight),
    )


def organisation_from_row(row: list[Any]) -> Organisation:
    """Returns the organisation with the given row values."""
    entity = Organisation(*row)
    return msgspec.structs.replace(
        entity, rate=float(entity.rate), weight=float(entity.weight)
    )


def key_to_row(entity: Key) -> tuple[Any, ...]:
    """Returns the row values of a key."""
    return (
        pack_hex(entity.id),
        entity.organisation,
        pack_hex(entity.salt),
        pack_hex(entity.hash),
    )


def key_from_row(row: list[Any]) -> Key:
    """Returns the key with the given row values."""
    name, organisation, salt, hashed = row
    return Key(
        unpack_hex(name), organisation, unpack_hex(salt), unpack_hex(hashed)
    )


def service_to_row(entity: Service) -> tuple[Any, ...]:
    """Returns the row values of a service."""
    servers = tuple(
        (server.id, server.address, server.zone, server.slots)
        for server in entity.servers
    )
    return entity.id, entity.floor, servers, entity.echo_request_id


def service_from_row(row: list[Any]) -> Service:
    """Returns the service with the given row values."""
    name, floor, servers, echo_request_id = row
    return Service(
        name,
        floor,
        tuple(Server(*server) for server in servers),
        echo_request_id,
    )


def route_to_row(entity: Route) -> tuple[Any, ...]:
    """Returns the row values of a route."""
    calls = tuple(
        (call.method, call.idempotent, call.path) for call in entity.calls
    )
    target = (entity.id, entity.prefix, entity.service)
    access = (entity.open, entity.organisations)
    return (*target, *access, entity.timeout_ms, calls)


def route_from_row(row: list[Any]) -> Route:
    """Returns the route with the given row values."""
    entity = Route(*row)
    return msgspec.structs.replace(
        entity,
        organisations=tuple(entity.organisations),
        calls=tuple(Call(*call) for call in entity.calls),
    )


PACKINGS = (
    Packing('organisations', organisation_to_row, organisation_from_row),
    Packing('keys', key_to_row, key_from_row),
    Packing('services', service_to_row, service_from_row),
    Packing('routes', route_to_row, route_from_row),
)
