"""Codec and registry of the messages between hosts and in the log.

The wire form is a msgpack array of the message's tag and its fields.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

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
    """A message with its sender, as hosts exchange it."""

    sender: HostId
    incarnation: Incarnation
    recipient: HostId
    body: bytes


envelope_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(body: Any) -> bytes:
    """Returns the wire form of a registered message."""
    return encoder.encode((tags[type(body)], body))


def decode(payload: bytes) -> Any:
    """Returns the message of its wire form.

    Raises:
        CodecError: If the bytes are too many or not a known message.
    """
    if len(payload) > MAX_MESSAGE_BYTES:
        raise CodecError(f'message of {len(payload)} bytes is too large')
    try:
        tag, raw = decoder.decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CodecError(str(error)) from error
    struct = message_types.entries.get(tag)
    if struct is None:
        raise CodecError(f'unknown message tag {tag!r}')
    try:
        return msgspec.msgpack.decode(raw, type=struct)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CodecError(f'{tag}: {error}') from error


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the wire form of an envelope."""
    return encoder.encode(envelope)


def decode_envelope(payload: bytes) -> Envelope:
    """Returns the envelope of its wire form.

    Raises:
        CodecError: If the bytes are not an envelope.
    """
    try:
        return envelope_decoder.decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CodecError(str(error)) from error
