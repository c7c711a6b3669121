"""Replies to callers with outcome headers."""

import msgspec

from teaselcove.errors import Outcome, Refusal
from teaselcove.events import StoredAnswer
from teaselcove.ids import RequestId
from teaselcove.proxy import REQUEST_ID_HEADER, Headers

OUTCOME_HEADER = 'teaselcove-outcome'
REASON_HEADER = 'teaselcove-reason'


class Reply(msgspec.Struct, frozen=True):
    """HTTP response to a caller."""

    status: int
    headers: Headers
    body: bytes


def refusal_reply(request_id: RequestId, refusal: Refusal) -> Reply:
    """Creates the reply for a refusal."""
    headers = [
        ('content-type', 'application/json'),
        (OUTCOME_HEADER, refusal.outcome.value),
        (REASON_HEADER, refusal.reason.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if refusal.retry_after is not None:
        headers.append(('retry-after', f'{refusal.retry_after:.3f}'))
    body = msgspec.json.encode(
        {
            'outcome': refusal.outcome,
            'reason': refusal.reason,
            'retry_after': refusal.retry_after,
        }
    )
    return Reply(refusal.status, tuple(headers), body)


def answer_reply(request_id: RequestId, answer: StoredAnswer) -> Reply:
    """Creates the reply that returns an answer to the caller."""
    headers = (
        *answer.headers,
        (OUTCOME_HEADER, Outcome.COMPLETE.value),
        (REQUEST_ID_HEADER, request_id),
    )
    return Reply(answer.status, headers, answer.body)
