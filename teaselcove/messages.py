"""Codec and registry for messages between hosts and in the log.

The wire format is a msgpack array of the message's tag and its fields.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from teaselcove.decoding import decoding
from teaselcove.errors import CodecError
from teaselcove.ids import HostId, Incarnation
from teaselcove.registry import Registry

MAX_MESSAGE_BYTES = 4 * 1024 * 1024

message_types: Registry[type] = Registry('message')
MessageT = TypeVar('MessageT', bound=type)


def message(tag: str) -> Callable[[MessageT], MessageT]:
    """Returns a decorator that registers a `msgspec.Struct` as a message."""

    def decorator(struct: MessageT) -> MessageT:
        message_types.register(tag)(struct)
        tags[struct] = tag
        return struct

    return decorator


tags: dict[type, str] = {}
encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message between hosts with its sender and recipient."""

    sender: HostId
    incarnation: Incarnation
    recipient: HostId
    body: bytes


envelope_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(body: Any) -> bytes:
    """Encodes a registered message."""
    return encoder.encode((tags[type(body)], body))


def decode(payload: bytes) -> Any:
    """Decodes a registered message.

    Raises:
        CodecError: If the payload is too large or not a known message.
    """
    if len(payload) > MAX_MESSAGE_BYTES:
        raise CodecError(f'message of {len(payload)} bytes is too large')
    with decoding('message'):
        tag, raw = decoder.decode(payload)
    struct = message_types.entries.get(tag)
    if struct is None:
        raise CodecError(f'unknown message tag {tag!r}')
    with decoding(tag):
        return msgspec.msgpack.decode(raw, type=struct)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes an envelope."""
    return encoder.encode(envelope)


def decode_envelope(payload: bytes) -> Envelope:
    """Decodes an envelope.

    Raises:
        CodecError: If the payload is not an envelope.
    """
    with decoding('envelope'):
        return envelope_decoder.decode(payload)
