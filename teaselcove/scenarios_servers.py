"""Scenarios of faulty servers."""

from teaselcove.experiment import (
    FAULT_AT_S,
    FAULTY_INDEX,
    SECOND_FAULTY_INDEX,
    Experiment,
)
from teaselcove.scenario_registry import scenario
from teaselcove.scenarios_load import greedy

SLOW_FACTOR = 10
ERROR_SHARE = 0.3
WRONG_SHARE = 0.3


@scenario('stall')
def stall(run: Experiment) -> None:
    """A server passes health checks but finishes no call."""
    run.inject_fault(run.servers[FAULTY_INDEX], 'stalled', True, FAULT_AT_S)


@scenario('slow')
def slow(run: Experiment) -> None:
    """A server becomes ten times slower."""
    run.inject_fault(run.servers[FAULTY_INDEX], 'slow', SLOW_FACTOR, FAULT_AT_S)


def flap(run: Experiment, period: float) -> None:
    """A server alternates between stalled and healthy."""
    start = float(FAULT_AT_S)
    while start < run.duration:
        end = start + period / 2
        run.inject_fault(run.servers[FAULTY_INDEX], 'stalled', True, start, end)
        start += period


@scenario('flap-2', duration=30)
def flap_fast(run: Experiment) -> None:
    """A server flaps every 2 s."""
    flap(run, 2)


@scenario('flap-10', duration=60)
def flap_medium(run: Experiment) -> None:
    """A server flaps every 10 s."""
    flap(run, 10)


@scenario('flap-60', duration=140)
def flap_slow(run: Experiment) -> None:
    """A server flaps every 60 s."""
    flap(run, 60)


@scenario('errors')
def errors(run: Experiment) -> None:
    """A server answers three in ten calls immediately with an error."""
    run.inject_fault(
        run.servers[FAULTY_INDEX], 'error_share', ERROR_SHARE, FAULT_AT_S
    )


@scenario('wrong')
def wrong(run: Experiment) -> None:
    """A server sends answers that belong to other requests."""
    run.inject_fault(
        run.servers[FAULTY_INDEX], 'wrong_share', WRONG_SHARE, FAULT_AT_S
    )


@scenario('truncated')
def truncated(run: Experiment) -> None:
    """A server truncates answers."""
    run.inject_fault(
        run.servers[FAULTY_INDEX], 'truncated_share', WRONG_SHARE, FAULT_AT_S
    )


@scenario('two-at-once')
def two_at_once(run: Experiment) -> None:
    """One server stalls while another becomes slow."""
    stall(run)
    run.inject_fault(
        run.servers[SECOND_FAULTY_INDEX], 'slow', SLOW_FACTOR, FAULT_AT_S
    )


@scenario('stall-greedy')
def stall_greedy(run: Experiment) -> None:
    """A server stalls while one organisation exceeds its rate."""
    stall(run)
    greedy(run)


@scenario('all-fail')
def all_fail(run: Experiment) -> None:
    """Every server answers every call with an error."""
    for server in run.servers:
        run.record_fault(server, FAULT_AT_S, expected=False)
        run.set_at(FAULT_AT_S, server, 'error_share', 1)
