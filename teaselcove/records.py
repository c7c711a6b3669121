"""Log records of configuration changes."""

import msgspec

from teaselcove.entities import Entities
from teaselcove.ids import (
    ApplyId,
    KeyId,
    Offset,
    OrganisationId,
    RouteId,
    ServiceId,
    StreamName,
    Version,
)

STREAM = StreamName('configuration')
RECORD_FORMAT = 1

# Names of the entity fields in `Entities` and `Removed`.
KINDS = ('organisations', 'keys', 'services', 'routes')


class Removed(msgspec.Struct, frozen=True):
    """Ids of the entities removed by a change."""

    organisations: tuple[OrganisationId, ...] = ()
    keys: tuple[KeyId, ...] = ()
    services: tuple[ServiceId, ...] = ()
    routes: tuple[RouteId, ...] = ()


class ApplyRecord(msgspec.Struct, frozen=True):
    """A log record of one configuration change.

    Attributes:
        apply_id: Unique id of the change.
        base: Version that the change was planned against.
        put: Added or replaced entities.
        removed: Ids of the removed entities.
        digest: Digest of the configuration after the change, or None to skip
            the check.
        operator: Who applied the change.
        format: Version of the record format.
    """

    apply_id: ApplyId
    base: Version
    put: Entities
    removed: Removed = Removed()
    digest: int | None = None
    operator: str = ''
    format: int = RECORD_FORMAT


class FormatHeader(msgspec.Struct, frozen=True):
    """The field that records of all formats share."""

    format: int = RECORD_FORMAT


class Winner(msgspec.Struct, frozen=True, array_like=True):
    """A change that created a version.

    Attributes:
        offset: Offset of its record in the log.
    """

    version: Version
    apply_id: ApplyId
    operator: str
    offset: Offset


def encode_record(record: ApplyRecord) -> bytes:
    """Encodes a record for the log."""
    return msgspec.json.encode(record)


def decode_format(payload: bytes) -> int:
    """Decodes the format of a record.

    Raises:
        msgspec.MsgspecError: If the bytes are not a record.
    """
    return msgspec.json.decode(payload, type=FormatHeader).format


def decode_record(payload: bytes) -> ApplyRecord:
    """Decodes a record of the current format.

    Raises:
        msgspec.MsgspecError: If the bytes are not such a record.
    """
    return msgspec.json.decode(payload, type=ApplyRecord)
