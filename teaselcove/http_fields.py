"""Requests and headers as all HTTP sides of a host use them."""

import msgspec

MS_PER_S = 1000
BEARER = 'Bearer '
# Answers with these statuses have no body, whatever their headers say.
BODYLESS_STATUS = frozenset((204, 304))

# Headers that concern one connection only.
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
    """A caller's request as it is sent to a backend server.

    Attributes:
        target: Path and query.
    """

    method: str
    target: str
    headers: Headers
    body: bytes


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its request was whole."""


def key_of(headers: dict[str, str]) -> str | None:
    """Returns the text of the caller's key; empty if it is malformed."""
    authorization = headers.get('authorization')
    if authorization is None:
        return None
    if not authorization.startswith(BEARER):
        return ''
    return authorization.removeprefix(BEARER).strip()
