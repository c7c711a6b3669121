"""Attempts of requests at backend servers."""

import msgspec

from teaselcove.ids import (
    AttemptId,
    BackendServerId,
    Instant,
    OrganisationId,
    RequestId,
    ServiceId,
)


class Attempt(msgspec.Struct, frozen=True):
    """An attempt to run a request at a backend server.

    Attributes:
        idempotent: Whether the call may be repeated.
        body_digest: Digest of method, path and body of the request.
        started_at: When the attempt started.
    """

    attempt_id: AttemptId
    request_id: RequestId
    service: ServiceId
    server: BackendServerId
    organisation: OrganisationId
    idempotent: bool
    body_digest: bytes
    started_at: Instant
