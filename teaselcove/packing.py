"""Packed form of entities: one row of msgpack for each.

The form is canonical: equal entities have equal rows. Digests are computed
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
    """How the entities of one kind are packed.

    Attributes:
        kind: Name of the kind's field in `Entities`.
        to_row: Returns the values of an entity, the id first.
        from_row: Returns the entity of such values.
    """

    kind: str
    to_row: Callable[[Any], tuple[Any, ...]]
    from_row: Callable[[list[Any]], Any]

    def pack(self, entity: Any) -> bytes:
        """Returns the row of an entity."""
        return encode(self.to_row(entity))

    def unpack(self, row: bytes) -> Any:
        """Returns the entity of a row.

        Raises:
            msgspec.MsgspecError: If the bytes are not a row.
        """
        return self.from_row(decode(row))

    def digest(self, row: bytes) -> int:
        """Returns the share of a row in the digest of a configuration."""
        hashed = hashlib.blake2b(
            row, digest_size=DIGEST_BYTES, person=self.kind.encode()
        )
        return int.from_bytes(hashed.digest(), 'big')


def shorten(number: float) -> float | int:
    """Returns a whole number as an integer, which packs shorter."""
    return int(number) if number == int(number) else number


def pack_hex(text: str) -> str | bytes:
    """Returns lower-case hexadecimal text as bytes, other text as it is."""
    try:
        packed = bytes.fromhex(text)
    except ValueError:
        return text
    return packed if packed.hex() == text else text


def unpack_hex(packed: str | bytes) -> str:
    """Returns the text of the form that `pack_hex` gives."""
    return packed.hex() if isinstance(packed, bytes) else packed


def organisation_row(entity: Organisation) -> tuple[Any, ...]:
    """Returns the values of an organisation."""
    return (
        entity.id,
        shorten(entity.rate),
        entity.burst,
        entity.name,
        shorten(entity.weight),
    )


def organisation_of(row: list[Any]) -> Organisation:
    """Returns the organisation of its values."""
    entity = Organisation(*row)
    return msgspec.structs.replace(
        entity, rate=float(entity.rate), weight=float(entity.weight)
    )


def key_row(entity: Key) -> tuple[Any, ...]:
    """Returns the values of a key."""
    return (
        pack_hex(entity.id),
        entity.organisation,
        pack_hex(entity.salt),
        pack_hex(entity.hash),
    )


def key_of(row: list[Any]) -> Key:
    """Returns the key of its values."""
    name, organisation, salt, hashed = row
    return Key(
        unpack_hex(name), organisation, unpack_hex(salt), unpack_hex(hashed)
    )


def service_row(entity: Service) -> tuple[Any, ...]:
    """Returns the values of a service."""
    servers = tuple(
        (server.id, server.address, server.zone, server.slots)
        for server in entity.servers
    )
    return entity.id, entity.floor, servers, entity.echo_request_id


def service_of(row: list[Any]) -> Service:
    """Returns the service of its values."""
    name, floor, servers, echo = row
    return Service(
        name, floor, tuple(Server(*server) for server in servers), echo
    )


def route_row(entity: Route) -> tuple[Any, ...]:
    """Returns the values of a route."""
    calls = tuple(
        (call.method, call.idempotent, call.path) for call in entity.calls
    )
    target = (entity.id, entity.prefix, entity.service)
    access = (entity.open, entity.organisations)
    return (*target, *access, entity.timeout_ms, calls)


def route_of(row: list[Any]) -> Route:
    """Returns the route of its values."""
    entity = Route(*row)
    return msgspec.structs.replace(
        entity,
        organisations=tuple(entity.organisations),
        calls=tuple(Call(*call) for call in entity.calls),
    )


PACKINGS = (
    Packing('organisations', organisation_row, organisation_of),
    Packing('keys', key_row, key_of),
    Packing('services', service_row, service_of),
    Packing('routes', route_row, route_of),
)
