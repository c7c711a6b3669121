"""Route lookup and key check of arriving requests."""

from returns.result import Failure, Result, Success

from teaselcove.entities import Route
from teaselcove.errors import Reason, Refusal, not_run
from teaselcove.events import RequestArrived
from teaselcove.ids import OPEN_ORGANISATION, Instant
from teaselcove.kernel import Kernel, services
from teaselcove.request_state import Identity, RequestState

MS_PER_S = 1000


@services.register('acceptance')
class Acceptance:
    """Checks that a request has a route and a key that may use it."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def accept(
        self, event: RequestArrived, now: Instant
    ) -> Result[RequestState, Refusal]:
        """Returns the state of a valid request, or its refusal."""
        if self.kernel.service('drain').refuses(now):
            return Failure(not_run(Reason.DRAINING))
        configuration = self.kernel.service('configuration')
        if not configuration.version:
            return Failure(not_run(Reason.NO_CONFIGURATION))
        route = configuration.route_for(event.path)
        if route is None:
            return Failure(not_run(Reason.NO_ROUTE))
        if self.kernel.service('retries').is_crashing(event.body_digest, now):
            return Failure(not_run(Reason.CRASHING_REQUEST))
        timeout = route.timeout_ms / MS_PER_S
        if event.timeout is not None:
            timeout = min(timeout, event.timeout)
        return self.identify(event, route, now).map(
            lambda identity: RequestState(
                event,
                route,
                identity,
                route.is_idempotent(event.method, event.path),
                Instant(now + timeout),
            )
        )

    def identify(
        self, event: RequestArrived, route: Route, now: Instant
    ) -> Result[Identity, Refusal]:
        """Returns the organisation and key of a request, or its refusal."""
        if event.key is None and route.open:
            return Success(Identity(OPEN_ORGANISATION, None))
        if not self.kernel.service('configuration').may_serve(now):
            return Failure(not_run(Reason.ISOLATED))
        key = None
        if event.key is not None:
            key = self.kernel.service('keys').check(event.key)
        if key is None:
            return Failure(not_run(Reason.BAD_KEY))
        allowed = route.organisations
        if allowed and key.organisation not in allowed:
            return Failure(not_run(Reason.NOT_ALLOWED))
        return Success(Identity(key.organisation, key.id))
