"""Scenarios of loads and of requests that do harm."""

from functools import partial

from teaselcove.experiment import FAULT_AT_S, Experiment
from teaselcove.ids import Instant, OrganisationId
from teaselcove.scenario_registry import scenario

GREEDY_FACTOR = 5
GREEDY = OrganisationId('organisation-1')
OVERLOAD_SHARE = 1.3
CRASH_RESENDS = 20


@scenario('steady')
def steady(run: Experiment) -> None:
    """No fault at all."""


@scenario('greedy')
def greedy(run: Experiment) -> None:
    """One organisation sends five times its rate."""
    run.greedy.add(GREEDY)
    run.at(FAULT_AT_S, partial(exceed_rate, run))


def exceed_rate(run: Experiment, now: Instant) -> None:
    """Lets one organisation send five times its declared rate."""
    rate = run.callers.rates[GREEDY].rate
    usual = run.callers.load * run.callers.shares[GREEDY]
    run.callers.factors[GREEDY] = GREEDY_FACTOR * rate / usual


@scenario('overload')
def overload(run: Experiment) -> None:
    """All organisations together send more than the capacity."""
    load = OVERLOAD_SHARE * run.conditions.deployment.capacity
    run.set_at(FAULT_AT_S, run.callers, 'load', load)


@scenario('greedy-overload')
def greedy_overload(run: Experiment) -> None:
    """One organisation sends five times its rate in an overload."""
    overload(run)
    greedy(run)


@scenario('crashing-request')
def crashing_request(run: Experiment) -> None:
    """A request crashes each server that runs it; its caller sends again."""
    add_crasher(run, FAULT_AT_S, idempotent=True)


@scenario('crashing-requests')
def crashing_requests(run: Experiment) -> None:
    """Two crashing requests, of which one may not be repeated."""
    add_crasher(run, FAULT_AT_S, idempotent=True)
    add_crasher(run, FAULT_AT_S + 2, idempotent=False)


def add_crasher(run: Experiment, start: float, idempotent: bool) -> None:
    """Sends a crashing request at a time."""
    run.at(start, partial(send_crasher, run, idempotent))


def send_crasher(run: Experiment, idempotent: bool, now: Instant) -> None:
    """Sends a crashing request, which its caller sends again and again."""
    record = run.callers.new_record(GREEDY, now, idempotent)
    record.digest = f'crash-{record.request_id}'.encode()
    record.crashing = True
    record.resends = CRASH_RESENDS
    run.callers.send(record, now)
