"""Scenarios of load and of requests that crash servers."""

from functools import partial

from teaselcove.experiment import FAULT_AT_S, Experiment
from teaselcove.ids import Instant, OrganisationId
from teaselcove.scenario_registry import scenario

# Ratio of the calls of the greedy organisation to its declared rate.
GREEDY_FACTOR = 5
GREEDY_ORGANISATION = OrganisationId('organisation-1')
# Offered load of an overload as a share of the capacity.
OVERLOAD_SHARE = 1.3
CRASH_RESENDS = 20


@scenario('steady')
def steady(run: Experiment) -> None:
    """No faults."""


@scenario('greedy')
def greedy(run: Experiment) -> None:
    """One organisation sends five times its rate."""
    run.greedy.add(GREEDY_ORGANISATION)
    run.at(FAULT_AT_S, partial(exceed_rate, run))


def exceed_rate(run: Experiment, now: Instant) -> None:
    """Raises the calls of an organisation to five times its rate."""
    rate = run.callers.rates[GREEDY_ORGANISATION].rate
    usual = run.callers.load * run.callers.shares[GREEDY_ORGANISATION]
    run.callers.rate_factors[GREEDY_ORGANISATION] = GREEDY_FACTOR * rate / usual


@scenario('overload')
def overload(run: Experiment) -> None:
    """All organisations together send more than the capacity."""
    load = OVERLOAD_SHARE * run.conditions.deployment.capacity
    run.set_at(FAULT_AT_S, run.callers, 'load', load)


@scenario('greedy-overload')
def greedy_overload(run: Experiment) -> None:
    """One organisation sends five times its rate during an overload."""
    overload(run)
    greedy(run)


@scenario('crashing-request')
def crashing_request(run: Experiment) -> None:
    """A request crashes each server that runs it; its caller resends it."""
    schedule_crashing_request(run, FAULT_AT_S, idempotent=True)


@scenario('crashing-requests')
def crashing_requests(run: Experiment) -> None:
    """Two crashing requests, one of which is not idempotent."""
    schedule_crashing_request(run, FAULT_AT_S, idempotent=True)
    schedule_crashing_request(run, FAULT_AT_S + 2, idempotent=False)


def schedule_crashing_request(
    run: Experiment, start: float, idempotent: bool
) -> None:
    """Schedules a crashing request."""
    run.at(start, partial(send_crashing_request, run, idempotent))


def send_crashing_request(
    run: Experiment, idempotent: bool, now: Instant
) -> None:
    """Sends a crashing request that its caller resends after failures."""
    record = run.callers.new_record(GREEDY_ORGANISATION, now, idempotent)
    record.digest = f'crash-{record.request_id}'.encode()
    record.crashing = True
    record.resends = CRASH_RESENDS
    run.callers.send(record, now)
