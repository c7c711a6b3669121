"""The fleet's own records of its hosts in the platform's store."""

import msgspec

from teaselcove.errors import CodecError
from teaselcove.ingress.entities import HostRecord, KeyedRecord
from teaselcove.platform.addresses import is_address

TOPIC = 'keyed.hosts'


def encode_host(record: HostRecord) -> bytes:
    """Returns the value of a host's record."""
    return msgspec.json.encode(record)


def decode_host(item: KeyedRecord) -> HostRecord:
    """Returns the host of a record.

    Raises:
        CodecError: If the record names no host.
    """
    try:
        record = msgspec.json.decode(item.value or b'', type=HostRecord)
    except msgspec.MsgspecError as error:
        raise CodecError(f'host {item.key}: {error}') from error
    if not (is_address(record.address) and is_address(record.peer_address)):
        raise CodecError(f'host {item.key}: no usable address')
    return record
