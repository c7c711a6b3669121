"""Comparison of the rate limiters under the same load, in virtual time.

Run as `python -m standins.rate_comparison`. It prints a table, then JSON.
"""

import json
import random
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any

import msgspec

from standins.rate_load import RateChecker, TokenWanted, make_fleet
from teaselcove.entities import Organisation
from teaselcove.fleet import Fleet
from teaselcove.ids import HostId
from teaselcove.rates import RateState
from teaselcove.slices import slice_of

LIMITERS = ('escrow', 'static', 'lease')
HOST_COUNTS = (12, 44)
LOADS = (0.5, 0.7, 0.9, 1.0)
PATTERNS = ('owners', 'even', 'skewed', 'moving')
# Eight organisations as in the workloads: a few large ones and several small.
ORGANISATIONS = (
    Organisation('large-1', rate=200, burst=200),
    Organisation('large-2', rate=100, burst=50),
    Organisation('middle-1', rate=40, burst=40),
    Organisation('middle-2', rate=20, burst=30),
    Organisation('small-1', rate=10, burst=10),
    Organisation('small-2', rate=5, burst=10),
    Organisation('small-3', rate=5, burst=5),
    Organisation('small-4', rate=2, burst=3),
)
# Seconds before the load starts, in which all limiters can fill their buckets.
WARM_UP_S = 20.0
LOAD_S = 60.0
# With the pattern `moving`, seconds for which all requests of an organisation
# go to one host before they move to the next.
MOVE_INTERVAL_S = 3.0
# With the pattern `skewed`, share of the requests of an organisation that one
# host always gets; the others are spread over all hosts.
SKEWED_SHARE = 0.8
SEED = 7


class Case(msgspec.Struct, frozen=True):
    """Parameters of one run.

    Attributes:
        load: Requests per second, as a multiple of the declared rates.
    """

    limiter: str
    hosts: int
    load: float
    pattern: str


class Outcome(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        ideal: Number of requests that one ideal bucket admits.
        wrongful_percent: Share of requests refused although one ideal bucket
            admits them.
        worst_percent: The same for the organisation with the largest share.
        overrun: Largest excess over rate and burst in any time window.
        messages: Messages per host and second.
        message_bytes: Bytes of messages per host and second.
    """

    case: Case
    requests: int
    granted: int
    ideal: int
    wrongful_percent: float
    worst_percent: float
    overrun: float
    messages: float
    message_bytes: float
    wait_p99_ms: float


def choose_host(
    case: Case, fleet: Fleet, rng: random.Random, name: str
) -> HostId:
    """Chooses the host for the next request of an organisation."""
    hosts = sorted(fleet.hosts)
    first = slice_of(name) % len(hosts)
    if case.pattern == 'owners':
        ownership = fleet.hosts[hosts[0]].kernel.service('ownership')
        owners = ownership.owners(slice_of(name))
        return rng.choice(owners).host
    if case.pattern == 'moving':
        moves = int(fleet.now / MOVE_INTERVAL_S)
        return hosts[(first + moves) % len(hosts)]
    if case.pattern == 'skewed' and rng.random() < SKEWED_SHARE:
        return hosts[first]
    return rng.choice(hosts)


def run(case: Case) -> Outcome:
    """Runs one case."""
    checker = RateChecker(ORGANISATIONS)
    fleet = make_fleet(case.hosts, checker, case.limiter, seed=SEED)
    rng = random.Random(SEED)
    fleet.run_until(WARM_UP_S)
    fleet.sent.clear()
    fleet.sent_bytes.clear()
    names = [organisation.id for organisation in ORGANISATIONS]
    rates = [organisation.rate for organisation in ORGANISATIONS]
    number = 0
    while fleet.now < WARM_UP_S + LOAD_S:
        gap = rng.expovariate(sum(rates) * case.load)
        fleet.run_until(fleet.now + gap)
        name = rng.choices(names, rates)[0]
        number += 1
        event = TokenWanted(f'request-{number}', name)
        fleet.handle(choose_host(case, fleet, rng, name), event)
    fleet.run_until(fleet.now + 1)
    return summarize(case, checker, fleet)


def summarize(case: Case, checker: RateChecker, fleet: Fleet) -> Outcome:
    """Returns the results of a finished run."""
    requests = sum(checker.offered.values())
    worst = max(
        checker.wrongful[name] / offered
        for name, offered in checker.offered.items()
    )
    waits = sorted(checker.waits)
    host_seconds = case.hosts * LOAD_S
    return Outcome(
        case,
        requests,
        checker.verdicts[RateState.GRANTED],
        checker.ideal_admitted,
        round(sum(checker.wrongful.values()) / requests * 100, 3),
        round(worst * 100, 2),
        round(checker.overrun, 2),
        round(sum(fleet.sent.values()) / host_seconds, 2),
        round(sum(fleet.sent_bytes.values()) / host_seconds, 1),
        round(waits[int(len(waits) * 0.99)] * 1000, 2),
    )


def main() -> None:
    """Runs all cases, prints a table and JSON."""
    cases = [
        Case(*parts)
        for parts in product(LIMITERS, HOST_COUNTS, LOADS, PATTERNS)
    ]
    with ProcessPoolExecutor(max_workers=4) as pool:
        outcomes = list(pool.map(run, cases))
    columns = ('limiter', 'hosts', 'load', 'pattern', 'refused wrongfully %')
    print(
        *columns, 'worst org. %', 'overrun', 'msg/s', 'B/s', 'p99 ms', sep='\t'
    )
    for row in outcomes:
        print_row(row)
    print(json.dumps([msgspec.to_builtins(outcome) for outcome in outcomes]))


def print_row(outcome: Outcome) -> None:
    """Prints a row of the table."""
    fields: tuple[Any, ...] = (
        *msgspec.structs.astuple(outcome.case),
        outcome.wrongful_percent,
        outcome.worst_percent,
        outcome.overrun,
        outcome.messages,
        outcome.message_bytes,
        outcome.wait_p99_ms,
    )
    print(*fields, sep='\t')


if __name__ == '__main__':
    main()
