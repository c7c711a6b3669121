"""Tests of the fault soak: its checks find breaches, a seed is green."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from soak.checks import Evidence, Run, Sent, Span, Withdrawal
from soak.planted import PLANTS, Plant, plant_in

SEED = 1
SECONDS = 6
TIMEOUT_S = 120


def sent(**changes: Any) -> Sent:
    """Returns a booking that was answered as it should be."""
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
    """Returns the promises that were broken."""
    return {breach.promise for breach in evidence.breaches()}


class TestChecks:
    """A planted breach of each promise is found."""

    def test_nothing_wrong(self) -> None:
        """Guards against checks that find what is not there."""
        evidence = Evidence([sent()], [RUN])
        assert not evidence.breaches()

    def test_run_twice(self) -> None:
        """Guards against a check of at-most-once that finds nothing."""
        assert promises(Evidence([sent()], [RUN, RUN])) == {'at-most-once'}

    @pytest.mark.parametrize('status', [408, 421, 429, 503])
    def test_untrue_refusal(self, status: int) -> None:
        """Guards against refusals that are not checked."""
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
        """Guards against answers that are not checked."""
        evidence = Evidence([sent(**changes)], [RUN])
        assert promises(evidence) == {'own-answer'}

    def test_wrong_organisation(self) -> None:
        """Guards against runs whose organisation is not checked."""
        run = msgspec.structs.replace(RUN, organisation='town')
        assert promises(Evidence([sent()], [run])) == {'organisation'}

    def test_withdrawn_key(self) -> None:
        """Guards against a check that allows withdrawn keys."""
        evidence = Evidence([sent()], [RUN], [Withdrawal('key', 4)])
        assert promises(evidence) == {'withdrawn-key'}

    def test_rate(self) -> None:
        """Guards against windows that are not checked."""
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
        """Guards against work for servers that have left."""
        evidence = Evidence([sent()], [RUN], leaving={'server-0': 8})
        assert promises(evidence) == {'leaving'}

    def test_leaving_server_unknown(self) -> None:
        """Guards against blame while hosts do not hear the store."""
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
        """Guards against shutdowns that are not checked."""
        cut = sent(status=None, planned_stop=True)
        assert promises(Evidence([cut], [RUN])) == {'stop'}


class TestPlants:
    """Faults that are planted in the program."""

    @pytest.mark.parametrize('plant', PLANTS, ids=lambda plant: plant.promise)
    def test_check_is_there(self, plant: Plant, tmp_path: Path) -> None:
        """Guards against plants that change nothing."""
        plant_in(tmp_path, plant)
        path = tmp_path / 'teaselcove' / plant.module
        text = path.read_text(encoding='utf-8')
        assert plant.instead in text
        compile(text, plant.module, 'exec')

    def test_every_promise(self) -> None:
        """Guards against promises whose check is never taken out."""
        planted = {plant.promise for plant in PLANTS}
        assert planted == {
            'at-most-once',
            'true-refusal',
            'own-answer',
            'organisation',
            'withdrawn-key',
            'rate',
            'leaving',
            'stop',
        }


class TestSeed:
    """A short run with real processes."""

    def test_seed(self) -> None:
        """Guards against promises that break under random faults."""
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
