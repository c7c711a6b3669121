"""Names of HTTP headers and paths on the users' platform."""

import logging
import math

from teaselcove.http_fields import parse_count
from teaselcove.ids import Era

log = logging.getLogger('teaselcove.requests')

# Sent by callers and forwarded unchanged.
ATTEMPT_ID = 'attempt-id'
# Milliseconds until the sender's deadline.
DEADLINE_MS = 'deadline-ms'
AUTHORIZATION = 'authorization'
# Organisation that owns the caller's key; set by the proxy only.
ORGANISATION = 'tenant'
# Id of the backend server that should run the request.
EXPECTED_SERVER = 'expect-instance'
# Set by backend servers on responses.
SIGNATURE = 'response-signature'
NOT_EXECUTED = 'not-executed'
ANSWERING_SERVER = 'instance-id'
# Requests per second that a backend server takes from all hosts together.
SERVER_LIMIT = 'server-limit'
# Set to 1 on all responses of a backend server that leaves.
SERVER_LEAVING = 'server-leaving'
LEAVES = '1'
# Seconds for which a backend server that refuses with 503 wants no request from
# the host that it answers.
RETRY_AFTER = 'retry-after'
# Set by the store on responses: how often it was restored from a copy.
STORE_ERA = 'store-era'

READY_PATH = '/readyz'
RESOLVE_PATH = '/resolve'
METRICS_PATH = '/metrics'
# Query parameter of a resolve request: availability zone of the caller.
CALLER_ZONE = 'zone'


def decode_server_limit(text: str | None) -> float | None:
    """Returns the limit in an answer, or None if there is no valid one."""
    return decode_amount(text, 'limit-unreadable')


def decode_retry_after(text: str | None) -> float | None:
    """Returns the seconds of a pause, or None if there is no valid one."""
    return decode_amount(text, 'pause-unreadable')


def decode_amount(text: str | None, problem: str) -> float | None:
    """Returns a number in a header, or None if there is no valid one.

    Args:
        text: Value of the header, or None if it is absent.
        problem: Kind of the log line for a value that is not valid.
    """
    if text is None:
        return None
    try:
        amount = float(text)
    except ValueError:
        amount = math.nan
    if amount >= 0 and math.isfinite(amount):
        return amount
    log.warning(problem, extra={'figures': {'text': text[:32]}})
    return None


def decode_store_era(text: str | None) -> Era | None:
    """Returns the era in an answer, or None if there is no valid one."""
    if text is None:
        return None
    era = parse_count(text)
    if era is not None:
        return Era(era)
    log.warning('era-unreadable', extra={'figures': {'text': text[:32]}})
    return None
