"""Tests of numbers in headers that no sound peer sends."""

import pytest

from teaselcove.http_connection import RawAnswer
from teaselcove.http_fields import parse_count
from teaselcove.ids import Instant
from teaselcove.ingress.backend import announced_idle_limit
from teaselcove.ingress.server import parse_deadline
from teaselcove.platform.headers import decode_server_limit, decode_store_era
from tests.ingress_support import add_servers, make_kernel

MANY_DIGITS = '9' * 5000
# Digits of other scripts, which Python also takes for digits.
OTHER_DIGITS = '²'


class TestCounts:
    """Whole numbers in headers."""

    @pytest.mark.parametrize('text', ['0', '15', '9' * 15])
    def test_valid(self, text: str) -> None:
        """Guards against refused numbers that peers send."""
        assert parse_count(text) == int(text)

    @pytest.mark.parametrize(
        'text', ['', '-1', '1.5', OTHER_DIGITS, MANY_DIGITS, str(2**64)]
    )
    def test_invalid(self, text: str) -> None:
        """Guards against numbers that raise, or cannot be passed on."""
        assert parse_count(text) is None
        assert parse_deadline(text) is None
        assert decode_store_era(text) is None

    @pytest.mark.parametrize('text', [OTHER_DIGITS, MANY_DIGITS])
    def test_keep_alive(self, text: str) -> None:
        """Guards against a 500 instead of the answer of a server."""
        headers = (('keep-alive', f'timeout={text}'),)
        answer = RawAnswer(200, headers, b'', reusable=True)
        assert announced_idle_limit(answer) is None


class TestServerLimit:
    """Limits that servers name."""

    @pytest.mark.parametrize(
        'text', [str(2**63), '1.7976931348623157e308', '9' * 300]
    )
    def test_largest(self, text: str) -> None:
        """Guards against a 500 for requests to a server with such a limit."""
        kernel = make_kernel()
        add_servers(kernel, 1)
        limits = kernel.service('server-limits')
        limit = decode_server_limit(text)
        limits.record_answer('s0', limit, succeeded=True, now=Instant(1))
        assert limits.allows('s0', Instant(2))

    def test_unreadable(self) -> None:
        """Guards against an error where a limit has too many digits."""
        assert decode_server_limit(f'1e{MANY_DIGITS}') is None
