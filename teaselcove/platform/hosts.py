"""Records of the fleet's hosts in the platform's store."""

import math

import msgspec

from teaselcove.decoding import decoding
from teaselcove.errors import CodecError
from teaselcove.ingress.entities import HostRecord, KeyedRecord
from teaselcove.platform.addresses import is_address

TOPIC = 'keyed.hosts'
# Hosts pass the start of a process on as a signed 64-bit number.
START_BITS = 63


def encode_host(record: HostRecord) -> bytes:
    """Encodes a host's record for the store."""
    return msgspec.json.encode(record)


def decode_host(item: KeyedRecord) -> HostRecord:
    """Decodes a host's record.

    Raises:
        CodecError: If the record is malformed, has an invalid address or
            number, or speaks of another host than its key names.
    """
    with decoding(f'host {item.key}'):
        record = msgspec.json.decode(item.value or b'', type=HostRecord)
    if record.host != item.key:
        raise CodecError(f'host {item.key}: the record of another host')
    if not (is_address(record.address) and is_address(record.peer_address)):
        raise CodecError(f'host {item.key}: no usable address')
    if record.started_ms.bit_length() > START_BITS or not math.isfinite(
        record.capacity
    ):
        raise CodecError(f'host {item.key}: a number is out of range')
    return record
