"""Comparison of the limiters under the same load, in virtual time.

Run with `python -m standins.rate_comparison`. It prints a table, then JSON.
"""

import json
import random
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import Any

import msgspec

from standins.rate_load import Judge, TokenWanted, make_fleet
from teaselcove.entities import Organisation
from teaselcove.fleet import Fleet
from teaselcove.ids import HostId
from teaselcove.rates import RateState
from teaselcove.slices import slice_of

LIMITERS = ('escrow', 'static', 'lease')
HOST_COUNTS = (12, 44)
LOADS = (0.5, 0.7, 0.9, 1.0)
PATTERNS = ('owners', 'even', 'skewed', 'moving')
# Eight organisations as in the workloads: a few large ones, some small.
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
# All limiters can fill their buckets before the load begins.
FILL_S = 20.0
LOAD_S = 60.0
# With the pattern `moving`, all requests of an organisation go to one host
# for this time, then to the next.
MOVE_S = 3.0
# With the pattern `skewed`, one host gets this share of an organisation.
SKEW = 0.8
SEED = 7


class Case(msgspec.Struct, frozen=True):
    """One run."""

    limiter: str
    hosts: int
    load: float
    pattern: str


class Outcome(msgspec.Struct, frozen=True):
    """Figures of one run; rates of messages are per host and second."""

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


def target(case: Case, fleet: Fleet, rng: random.Random, name: str) -> HostId:
    """Returns the host that gets the next request of an organisation."""
    hosts = sorted(fleet.hosts)
    first = slice_of(name) % len(hosts)
    if case.pattern == 'owners':
        ownership = fleet.hosts[hosts[0]].kernel.service('ownership')
        owners = ownership.owners(slice_of(name))
        return rng.choice(owners).host
    if case.pattern == 'moving':
        moves = int(fleet.now / MOVE_S)
        return hosts[(first + moves) % len(hosts)]
    if case.pattern == 'skewed' and rng.random() < SKEW:
        return hosts[first]
    return rng.choice(hosts)


def run(case: Case) -> Outcome:
    """Runs one case."""
    checker = Judge(ORGANISATIONS)
    fleet = make_fleet(case.hosts, checker, case.limiter, seed=SEED)
    rng = random.Random(SEED)
    fleet.run_until(FILL_S)
    fleet.sent.clear()
    fleet.sent_bytes.clear()
    names = [one.id for one in ORGANISATIONS]
    rates = [one.rate for one in ORGANISATIONS]
    number = 0
    while fleet.now < FILL_S + LOAD_S:
        gap = rng.expovariate(sum(rates) * case.load)
        fleet.run_until(fleet.now + gap)
        name = rng.choices(names, rates)[0]
        number += 1
        wanted = TokenWanted(f'request-{number}', name)
        fleet.handle(target(case, fleet, rng, name), wanted)
    fleet.run_until(fleet.now + 1)
    return outcome(case, checker, fleet)


def outcome(case: Case, checker: Judge, fleet: Fleet) -> Outcome:
    """Returns the figures of a run that has ended."""
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
    head = ('limiter', 'hosts', 'load', 'pattern', 'refused wrongfully %')
    print(*head, 'worst org. %', 'overrun', 'msg/s', 'B/s', 'p99 ms', sep='\t')
    for row in outcomes:
        print_row(row)
    print(json.dumps([msgspec.to_builtins(done) for done in outcomes]))


def print_row(done: Outcome) -> None:
    """Prints a line of the table."""
    fields: tuple[Any, ...] = (
        *msgspec.structs.astuple(done.case),
        done.wrongful_percent,
        done.worst_percent,
        done.overrun,
        done.messages,
        done.message_bytes,
        done.wait_p99_ms,
    )
    print(*fields, sep='\t')


if __name__ == '__main__':
    main()
