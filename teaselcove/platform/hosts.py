"""Records of the fleet's hosts in the platform's store."""

import msgspec

from teaselcove.errors import CodecError
from teaselcove.ingress.entities import HostRecord, KeyedRecord
from teaselcove.platform.addresses import is_address

TOPIC = 'keyed.hosts'


def encode_host(record: HostRecord) -> bytes:
    """Encodes a host's record for the store."""
    return msgspec.json.encode(record)


def decode_host(item: KeyedRecord) -> HostRecord:
    """Decodes a host's record.

    Raises:
        CodecError: If the record is malformed or has an invalid address.
    """
    try:
        record = msgspec.json.decode(item.value or b'', type=HostRecord)
    except msgspec.MsgspecError as error:
        raise CodecError(f'host {item.key}: {error}') from error
    if not (is_address(record.address) and is_address(record.peer_address)):
        raise CodecError(f'host {item.key}: no usable address')
    return record
