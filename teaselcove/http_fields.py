"""Request type and header helpers shared by HTTP servers and clients."""

import msgspec

MS_PER_S = 1000
BEARER = 'Bearer '
# Longer numbers would not fit into 64 bits, as messages between hosts need.
MAX_COUNT_DIGITS = 18
# Responses with these statuses have no body, whatever their headers say.
BODYLESS_STATUS = frozenset((204, 304))

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)

Headers = tuple[tuple[str, str], ...]


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request to forward to a backend server.

    Attributes:
        target: Path and query.
    """

    method: str
    target: str
    headers: Headers
    body: bytes


class CallerDisconnectedError(Exception):
    """The caller disconnected before it got a response."""


def parse_count(text: str) -> int | None:
    """Returns a whole number from a header, or None if it is no valid one."""
    if len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdigit() else None


def key_of(headers: dict[str, str]) -> str | None:
    """Returns the caller's key; None if absent, empty if malformed."""
    authorization = headers.get('authorization')
    if authorization is None:
        return None
    if not authorization.startswith(BEARER):
        return ''
    return authorization.removeprefix(BEARER).strip()
