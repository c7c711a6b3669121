"""Checks the route, key and rate limit of each request."""

import hashlib

import msgspec

from teaselcove.crashes import CrashTable
from teaselcove.errors import Reason, Refusal, not_run
from teaselcove.http_fields import CallerRequest
from teaselcove.ids import Instant
from teaselcove.ingress.calls import Call
from teaselcove.ingress.entities import (
    IngressOrganisation,
    IngressRoute,
)
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

DIGEST_BYTES = 12
# Servers that a request may crash before it is refused. Servers that reset
# connections for other reasons rarely hit the same request this often.
MAX_CRASHED_SERVERS = 3
# Seconds in which a host without a current configuration obtains one, if the
# store answers.
RETRY_AFTER_S = 0.5


class Arrival(msgspec.Struct, frozen=True):
    """A request as read from a caller.

    Attributes:
        path: Path without the query.
        key: The caller's key, or None.
        time_left: Seconds that the caller will wait, or None if not stated.
    """

    request: CallerRequest
    host: str
    path: str
    key: str | None
    attempt_id: str
    time_left: float | None


def digest_of(arrival: Arrival) -> bytes:
    """Returns a digest that identifies requests with equal content."""
    request = arrival.request
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    head = (arrival.host, request.method, request.target, arrival.key or '')
    digest.update('\n'.join(head).encode())
    digest.update(request.body)
    return digest.digest()


@ingress_services.register('acceptance')
class Acceptance:
    """Accepts or refuses requests and finds their organisation."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.crashes = CrashTable(MAX_CRASHED_SERVERS)

    def needs_confirmation(self, arrival: Arrival, now: Instant) -> bool:
        """Returns whether the store must first confirm the configuration."""
        catalog = self.kernel.service('catalog')
        route = catalog.route_for(arrival.host, arrival.path)
        if route is None:
            # The route may have been added since the last read of the store.
            return not catalog.are_keys_current(now)
        return not (route.open or catalog.are_keys_current(now))

    def accept(self, arrival: Arrival, now: Instant) -> Call | Refusal:
        """Returns the call of an accepted request, or its refusal."""
        catalog = self.kernel.service('catalog')
        if not catalog.version:
            return not_run(Reason.NO_CONFIGURATION, RETRY_AFTER_S)
        route = catalog.route_for(arrival.host, arrival.path)
        if route is None:
            return not_run(Reason.NO_ROUTE)
        refusal = None if route.open else self.check_key(arrival.key, now)
        if refusal is not None:
            return refusal
        digest = digest_of(arrival)
        if self.crashes.is_blocked(digest, now):
            return not_run(Reason.CRASHING_REQUEST)
        organisation = catalog.organisation_of(arrival.key)
        refusal = self.check_rate(organisation, now)
        if refusal is not None:
            return refusal
        return self.call(arrival, route, organisation, digest, now)

    def check_key(self, key: str | None, now: Instant) -> Refusal | None:
        """Returns a refusal if the key is not valid or not confirmed."""
        problem = self.kernel.service('catalog').key_rejection(key, now)
        if problem is None:
            return None
        wait = None if problem is Reason.BAD_KEY else RETRY_AFTER_S
        return not_run(problem, wait)

    def check_rate(
        self, organisation: IngressOrganisation | None, now: Instant
    ) -> Refusal | None:
        """Takes a rate-limit token; returns a refusal if there is none."""
        if organisation is None:
            return None
        wait = self.kernel.service('quotas').take(organisation, now)
        return None if wait is None else not_run(Reason.RATE, wait)

    def call(
        self,
        arrival: Arrival,
        route: IngressRoute,
        organisation: IngressOrganisation | None,
        digest: bytes,
        now: Instant,
    ) -> Call:
        """Creates the call of an accepted request."""
        timeout = route.timeout
        if arrival.time_left is not None:
            timeout = min(timeout, arrival.time_left)
        service = self.kernel.service('catalog').choose_service(route)
        self.kernel.service('retry-window').record_request(service, now)
        return Call(
            arrival.attempt_id,
            arrival.request,
            route,
            service,
            organisation,
            now,
            Instant(now + timeout),
            digest,
            arrival.key,
        )

    def recheck_key(self, call: Call) -> Refusal | None:
        """Returns a refusal if the key was withdrawn since acceptance."""
        catalog = self.kernel.service('catalog')
        if call.route.open or catalog.organisation_of(call.key):
            return None
        return not_run(Reason.BAD_KEY)
