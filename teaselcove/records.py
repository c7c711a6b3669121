"""Records of the log that carry changes of the configuration."""

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

# Names of the fields that hold entities, in `Entities` and `Removed`.
KINDS = ('organisations', 'keys', 'services', 'routes')


class Removed(msgspec.Struct, frozen=True):
    """Ids of the entities that a change removes."""

    organisations: tuple[OrganisationId, ...] = ()
    keys: tuple[KeyId, ...] = ()
    services: tuple[ServiceId, ...] = ()
    routes: tuple[RouteId, ...] = ()


class ApplyRecord(msgspec.Struct, frozen=True):
    """One change of the configuration, as a record of the log.

    Attributes:
        apply_id: Unique id of the change.
        base: Version that the change was planned against.
        put: Entities added or replaced.
        removed: Entities removed.
        digest: Digest of the configuration after the change; None is not
            checked.
        operator: Who applied the change.
        format: Version of the record's form.
    """

    apply_id: ApplyId
    base: Version
    put: Entities
    removed: Removed = Removed()
    digest: int | None = None
    operator: str = ''
    format: int = RECORD_FORMAT


class FormatHeader(msgspec.Struct, frozen=True):
    """The part of a record that all formats share."""

    format: int = RECORD_FORMAT


class Winner(msgspec.Struct, frozen=True, array_like=True):
    """A change that created a version.

    Attributes:
        offset: Place of its record in the log.
    """

    version: Version
    apply_id: ApplyId
    operator: str
    offset: Offset


def encode_record(record: ApplyRecord) -> bytes:
    """Returns a record as stored in the log."""
    return msgspec.json.encode(record)


def decode_format(payload: bytes) -> int:
    """Returns the format of a record.

    Raises:
        msgspec.MsgspecError: If the bytes are not a record.
    """
    return msgspec.json.decode(payload, type=FormatHeader).format


def decode_record(payload: bytes) -> ApplyRecord:
    """Returns a record of the present format.

    Raises:
        msgspec.MsgspecError: If the bytes are not such a record.
    """
    return msgspec.json.decode(payload, type=ApplyRecord)
