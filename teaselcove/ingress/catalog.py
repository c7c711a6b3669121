"""The configuration in force: routes, organisations and their keys."""

from teaselcove.errors import Reason
from teaselcove.ids import Instant, OrganisationId, ServiceId, Version
from teaselcove.ingress.entities import (
    IngressConfiguration,
    IngressOrganisation,
    IngressRoute,
    WeightedService,
)
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

# A request that was admitted just before the bound still has to reach the
# backend server within it.
REVOKE_MARGIN_S = 0.5


class RouteTable:
    """Routes of one host name, by their number of path segments."""

    def __init__(self, routes: tuple[IngressRoute, ...]) -> None:
        self.by_prefix = {route.prefix: route for route in routes}

    def match(self, path: str) -> IngressRoute | None:
        """Returns the route with the longest prefix of a path."""
        end = path.rfind('/')
        while end >= 0:
            route = self.by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


@ingress_services.register('catalog')
class Catalog:
    """Keeps the newest configuration that the host has read.

    Attributes:
        version: Version in force; it never goes back.
        confirmed_at: When the latest read was sent that proved this version
            to be the newest.
        read_at: When this host's own latest such read was sent.
        credit: Share of each service in the split of a route, kept so that
            the shares are exact over any run of requests.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.configuration: IngressConfiguration | None = None
        self.version = Version(0)
        self.confirmed_at: Instant | None = None
        self.read_at: Instant | None = None
        self.tables: dict[str, RouteTable] = {}
        self.by_key: dict[str, IngressOrganisation] = {}
        self.organisations: dict[OrganisationId, IngressOrganisation] = {}
        self.services: frozenset[ServiceId] = frozenset()
        self.credit: dict[tuple[str, ServiceId], float] = {}

    def adopt(self, configuration: IngressConfiguration) -> bool:
        """Puts a version in force, unless it is not newer.

        Returns:
            Whether it is in force now and was not before.
        """
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.version = configuration.version
        self.tables = {
            host: RouteTable(routes)
            for host, routes in configuration.routes.items()
        }
        self.organisations = {
            organisation.id: organisation
            for organisation in configuration.organisations
        }
        self.by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self.services = frozenset(
            service.id for service in configuration.services
        )
        self.credit.clear()
        return True

    def confirm(self, asked_at: Instant) -> None:
        """Notes that a read found no newer version.

        Args:
            asked_at: When the read was sent.
        """
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def age(self, now: Instant) -> float:
        """Returns for how many seconds a newer version may exist unseen."""
        if self.confirmed_at is None:
            return float('inf')
        return now - self.confirmed_at

    def are_keys_current(self, now: Instant) -> bool:
        """Returns whether no key was withdrawn longer ago than allowed."""
        limit = self.kernel.settings.bounds.revoke - REVOKE_MARGIN_S
        return self.age(now) < limit

    def route_for(self, host: str, path: str) -> IngressRoute | None:
        """Returns the route of a request, or None."""
        name = host.lower()
        table = self.tables.get(name) or self.tables.get(name.partition(':')[0])
        return table.match(path) if table else None

    def organisation_of(self, key: str | None) -> IngressOrganisation | None:
        """Returns the organisation that holds a key, or None."""
        return None if key is None else self.by_key.get(key)

    def choose_service(self, route: IngressRoute) -> ServiceId:
        """Returns the service for the next request of a route.

        Smooth weighted round robin: the service with the highest credit is
        chosen and pays the sum of all weights.
        """
        if len(route.services) == 1:
            return route.services[0].service
        for part in route.services:
            self.add_credit(route, part)
        weighted = [item for item in route.services if item.weight > 0]
        chosen = max(
            weighted or route.services,
            key=lambda candidate: self.credit_of(route, candidate),
        )
        total = sum(item.weight for item in route.services)
        self.credit[route.id, chosen.service] -= total
        return chosen.service

    def add_credit(self, route: IngressRoute, part: WeightedService) -> None:
        """Adds the weight of a part of a split to its credit."""
        name = (route.id, part.service)
        credit = self.credit.get(name)
        if credit is None:
            # A random start keeps hosts from choosing in step.
            credit = self.kernel.random.random() * part.weight
        self.credit[name] = credit + part.weight

    def credit_of(self, route: IngressRoute, part: WeightedService) -> float:
        """Returns the credit of a part of a split."""
        return self.credit[route.id, part.service]

    def key_rejection(self, key: str | None, now: Instant) -> Reason | None:
        """Returns why a key does not let a request run, or None."""
        if not self.are_keys_current(now):
            return Reason.ISOLATED
        if key is None or key not in self.by_key:
            return Reason.BAD_KEY
        return None
