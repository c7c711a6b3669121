"""Finds out whether the soak notices faults that are planted in the program.

`python -m soak.planted` copies the program once for each promise, takes the
check out that keeps it, and plays seeds until the soak reports a breach. It
prints a line for each and exits with 1 if a fault was not noticed.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import fire
import msgspec

ROOT = Path(__file__).parent.parent
PACKAGES = ('teaselcove', 'standins', 'soak')
TIMEOUT_S = 120
# Characters of the output of a run that failed.
MAX_PROBLEM = 500


class PlantError(Exception):
    """The text to replace is not in the program once."""


class SoakError(Exception):
    """A run ended without a report."""


class Plant(msgspec.Struct, frozen=True):
    """A check that is taken out.

    Attributes:
        promise: What the check keeps, as the soak names it.
        module: File in the package.
        check: Text that is replaced; it occurs once.
        instead: The text in its place.
    """

    promise: str
    module: str
    check: str
    instead: str


PLANTS = (
    Plant(
        'at-most-once',
        'ingress/calls.py',
        'return call.route.idempotent and has_budget and servers_left',
        'return has_budget and servers_left',
    ),
    Plant(
        'true-refusal',
        'ingress/calls.py',
        '    if call.sent:\n        reason',
        '    if not call:\n        reason',
    ),
    Plant(
        'own-answer',
        'http_connection.py',
        'return answer.header(name) not in {None, expected}',
        'return False and expected',
    ),
    Plant(
        'organisation',
        'ingress/backend.py',
        '{names.ORGANISATION}: {outgoing.organisation}',
        '{names.ORGANISATION}: village',
    ),
    Plant(
        'withdrawn-key',
        'ingress/catalog.py',
        'if configuration.version <= self.version:',
        'if self.version:',
    ),
    Plant(
        'rate',
        'ingress/quotas.py',
        '        if not organisation.rate:\n            return None\n',
        '        if organisation:\n            return None\n',
    ),
    Plant(
        'leaving',
        'ingress/discovery.py',
        'if not known.leaving\n',
        'if known\n',
    ),
    Plant(
        'stop',
        'ingress/daemon.py',
        'while self.callers.is_busy and boot_time() < end_at:',
        'while self.callers.is_busy and boot_time() > end_at:',
    ),
)


def plant_in(directory: Path, plant: Plant) -> None:
    """Copies the program and takes a check out.

    Raises:
        PlantError: If the check is not found.
    """
    for package in PACKAGES:
        shutil.copytree(ROOT / package, directory / package)
    path = directory / 'teaselcove' / plant.module
    text = path.read_text(encoding='utf-8')
    if text.count(plant.check) != 1:
        raise PlantError(f'{plant.module}: {plant.check!r}')
    changed = text.replace(plant.check, plant.instead)
    path.write_text(changed, encoding='utf-8')


def is_noticed(
    directory: Path, plant: Plant, seed: int, seconds: float
) -> bool:
    """Returns whether the soak reports a breach of the promise.

    Raises:
        SoakError: If it ends without a report, as when another run of the
            same seed uses its addresses.
    """
    finished = subprocess.run(
        [sys.executable, '-m', 'soak.run', str(seed), f'--seconds={seconds}'],
        cwd=directory,
        env={'PATH': '/usr/bin:/bin', 'PYTHONPATH': str(directory)},
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    if not finished.stdout:
        raise SoakError(finished.stderr.decode()[-MAX_PROBLEM:])
    report = json.loads(finished.stdout.splitlines()[-1])
    promises = {breach['promise'] for breach in report['breaches']}
    return plant.promise in promises


def first_seed(plant: Plant, seeds: int, seconds: float) -> int | None:
    """Returns the first seed that notices a planted fault, or None."""
    with tempfile.TemporaryDirectory(prefix='planted-') as name:
        directory = Path(name)
        plant_in(directory, plant)
        for seed in range(1, seeds + 1):
            if is_noticed(directory, plant, seed, seconds):
                return seed
    return None


def main(only: str = '', seeds: int = 5, seconds: float = 15) -> None:
    """Plays the planted faults.

    Args:
        only: The promise to play; all by default.
        seeds: Seeds to play at most for each.
        seconds: Length of a run.
    """
    unnoticed = 0
    for plant in PLANTS:
        if only not in {'', plant.promise}:
            continue
        seed = first_seed(plant, seeds, seconds)
        unnoticed += seed is None
        outcome = 'not noticed' if seed is None else f'seed {seed}'
        print(f'{plant.promise}: {outcome}', flush=True)
    sys.exit(1 if unnoticed else 0)


if __name__ == '__main__':
    fire.Fire(main)
