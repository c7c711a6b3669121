"""Tests of the fault soak: its checks find breaches, and a seed passes."""

import asyncio
import json
import random
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from soak import faults as soak_faults
from soak.checks import Evidence, OwnEnd, Run, Sent, Span, Withdrawal
from soak.planted import MUTATIONS, Mutation, apply_mutation
from standins.backend import Fault

ADDRESS = '127.0.0.1:1'
SEED = 1
SECONDS = 6
TIMEOUT_S = 120


def sent(**changes: Any) -> Sent:
    """Returns a request that is not idempotent and got its own answer."""
    answered = Sent(
        'a1',
        'village',
        'key',
        idempotent=False,
        host='host-0',
        sent_at=10,
        ended_at=10.5,
        status=200,
        headers={'response-signature': 's'},
        body=b'{"call":"a1"}',
    )
    return msgspec.structs.replace(answered, **changes)


RUN = Run('a1', 'village', 'server-0', 10.1)


def promises(evidence: Evidence) -> set[str]:
    """Returns the names of the promises that were broken."""
    return {breach.promise for breach in evidence.breaches()}


class TestChecks:
    """The checks find a breach of each promise."""

    def test_no_breach(self) -> None:
        """Guards against checks that report a breach where there is none."""
        evidence = Evidence([sent()], [RUN])
        assert not evidence.breaches()

    def test_run_twice(self) -> None:
        """Guards against a check that misses requests that ran twice."""
        assert promises(Evidence([sent()], [RUN, RUN])) == {'at-most-once'}

    @pytest.mark.parametrize('status', [408, 421, 429, 503])
    def test_untrue_refusal(self, status: int) -> None:
        """Guards against a check that misses refusals of requests that ran."""
        evidence = Evidence([sent(status=status)], [RUN])
        assert promises(evidence) == {'true-refusal'}

    @pytest.mark.parametrize(
        'changes',
        [
            {'body': b'{"call":"a2"}'},
            {'body': b'{"call":"a1"'},
            {'headers': {}},
        ],
    )
    def test_foreign_answer(self, changes: dict[str, Any]) -> None:
        """Guards against a check that misses answers of other requests.

        Incomplete answers and answers without a signature count as well.
        """
        evidence = Evidence([sent(**changes)], [RUN])
        assert promises(evidence) == {'own-answer'}

    def test_wrong_organisation(self) -> None:
        """Guards against a check that misses runs for another organisation."""
        run = msgspec.structs.replace(RUN, organisation='town')
        assert promises(Evidence([sent()], [run])) == {'organisation'}

    def test_withdrawn_key(self) -> None:
        """Guards against a check that misses runs with withdrawn keys."""
        evidence = Evidence([sent()], [RUN], [Withdrawal('key', 4)])
        assert promises(evidence) == {'withdrawn-key'}

    def test_rate(self) -> None:
        """Guards against a check that misses runs above the quota."""
        names = [f'a{index}' for index in range(9)]
        runs = [Run(name, 'village', 's', 10) for name in names]
        evidence = Evidence(
            [
                sent(attempt_id=name, body=f'{{"call":"{name}"}}'.encode())
                for name in names
            ],
            runs,
            quota_bounds={'village': 8},
        )
        assert promises(evidence) == {'rate'}

    def test_leaving_server(self) -> None:
        """Guards against a check that misses requests to leaving servers."""
        evidence = Evidence([sent()], [RUN], leaving={'server-0': 8})
        assert promises(evidence) == {'leaving'}

    def test_leaving_server_during_store_fault(self) -> None:
        """Guards against false reports of hosts without contact with the store.

        A host that cannot read the store does not know that a server leaves.
        The drain time starts when the disruption ends.
        """
        evidence = Evidence(
            [sent()],
            [RUN],
            leaving={'server-0': 7},
            store_harm=[Span(7.5, 8.5)],
        )
        assert not evidence.breaches()
        evidence.store_harm = [Span(6, 7.9)]
        assert promises(evidence) == {'leaving'}

    def test_cut_by_stop(self) -> None:
        """Guards against a check that misses requests cut off by a stop."""
        cut = sent(status=None, planned_stop=True)
        assert promises(Evidence([cut], [RUN])) == {'stop'}

    def test_own_end(self) -> None:
        """Guards against a check that misses processes that ended."""
        evidence = Evidence([sent()], [RUN], own_ends=[OwnEnd('host-0', -1, 9)])
        assert promises(evidence) == {'own-end'}


class SoakWithLeavingServer:
    """A soak whose only server has announced that it leaves."""

    def __init__(self) -> None:
        self.evidence = Evidence(leaving={'server-0': 1})
        self.deployment = SimpleNamespace(servers={'server-0': ADDRESS})
        self.set_faults: list[Fault] = []

    async def set_fault(self, address: str, fault: Fault) -> None:
        """Records a fault."""
        self.set_faults.append(fault)


class TestFaults:
    """Faults that overlap."""

    @pytest.mark.parametrize('seed', [1, 2, 3, 4])
    def test_failing_server_goes_on_leaving(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a server that leaves and is ready again."""
        monkeypatch.setattr(soak_faults, 'MIN_DURATION_S', 0)
        monkeypatch.setattr(soak_faults, 'MAX_DURATION_S', 0)
        soak = SoakWithLeavingServer()
        asyncio.run(soak_faults.failing_server(soak, random.Random(seed)))
        assert [fault.leaving for fault in soak.set_faults] == [True, True]


class TestMutations:
    """Mutations that remove checks from the program."""

    @pytest.mark.parametrize(
        'mutation', MUTATIONS, ids=lambda mutation: mutation.promise
    )
    def test_mutation_applies(self, mutation: Mutation, tmp_path: Path) -> None:
        """Guards against mutations that no longer match the program."""
        apply_mutation(tmp_path, mutation)
        path = tmp_path / 'teaselcove' / mutation.module
        text = path.read_text(encoding='utf-8')
        assert mutation.replacement in text
        compile(text, mutation.module, 'exec')

    def test_every_promise(self) -> None:
        """Guards against promises without a mutation."""
        mutated = {mutation.promise for mutation in MUTATIONS}
        assert mutated == {
            'at-most-once',
            'true-refusal',
            'own-answer',
            'organisation',
            'withdrawn-key',
            'rate',
            'leaving',
            'stop',
            'own-end',
        }


class TestSeed:
    """A short soak with real processes."""

    def test_seed(self) -> None:
        """Guards against promises that are broken under random faults."""
        finished = subprocess.run(
            [
                sys.executable,
                '-m',
                'soak.run',
                str(SEED),
                f'--seconds={SECONDS}',
                '--hosts=3',
                '--servers=4',
            ],
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        report = json.loads(finished.stdout.splitlines()[-1])
        assert report['breaches'] == []
        assert report['served'] > 0
        assert finished.returncode == 0
