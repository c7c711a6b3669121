"""Mutation tests of the soak: removes safeguards and expects breaches.

`python -m soak.planted` copies the program once for each promise, removes the
check that enforces it, and runs the soak with one seed after another until it
reports a breach. It prints a line for each promise and exits with 1 if a
mutation was not detected.
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
# Characters of a failed run's error output that are reported.
MAX_PROBLEM_CHARACTERS = 500


class MutationError(Exception):
    """The program does not contain the original text exactly once."""


class SoakError(Exception):
    """A run of the soak ended without a report."""


class Mutation(msgspec.Struct, frozen=True):
    """A change of the program that removes a check.

    Attributes:
        promise: Promise that the check enforces, as in `Breach`.
        module: Path of the file in the package.
        original: Text that is replaced; it must occur exactly once.
        replacement: Text that replaces it.
    """

    promise: str
    module: str
    original: str
    replacement: str


MUTATIONS = (
    Mutation(
        'own-end',
        'ingress/held_signals.py',
        'signal.pthread_sigmask(signal.SIG_BLOCK, HELD)',
        'signal.pthread_sigmask(signal.SIG_BLOCK, ())',
    ),
    Mutation(
        'at-most-once',
        'ingress/calls.py',
        'return call.route.idempotent and has_budget and servers_left',
        'return has_budget and servers_left',
    ),
    Mutation(
        'true-refusal',
        'ingress/calls.py',
        '    if call.sent:\n        reason',
        '    if not call:\n        reason',
    ),
    Mutation(
        'own-answer',
        'http_connection.py',
        'return answer.header(name) not in {None, expected}',
        'return False and expected',
    ),
    Mutation(
        'organisation',
        'ingress/backend.py',
        '{names.ORGANISATION}: {outgoing.organisation}',
        '{names.ORGANISATION}: village',
    ),
    Mutation(
        'withdrawn-key',
        'ingress/catalog.py',
        'if configuration.version <= self.version:',
        'if self.version:',
    ),
    Mutation(
        'rate',
        'ingress/quotas.py',
        '        if not organisation.rate:\n            return None\n',
        '        if organisation:\n            return None\n',
    ),
    Mutation(
        'leaving',
        'ingress/known_servers.py',
        'return not (self.leaving or expired or held)',
        'return not (expired or held)',
    ),
    Mutation(
        'stop',
        'ingress/daemon.py',
        'while self.callers.is_busy and boot_time() < self.exit_at:',
        'while self.callers.is_busy and boot_time() > self.exit_at:',
    ),
)


def apply_mutation(directory: Path, mutation: Mutation) -> None:
    """Copies the program to a directory and applies a mutation to it.

    Raises:
        MutationError: If the original text does not occur exactly once.
    """
    for package in PACKAGES:
        shutil.copytree(ROOT / package, directory / package)
    path = directory / 'teaselcove' / mutation.module
    text = path.read_text(encoding='utf-8')
    if text.count(mutation.original) != 1:
        raise MutationError(
            f'{mutation.module}: does not occur once: {mutation.original!r}'
        )
    changed = text.replace(mutation.original, mutation.replacement)
    path.write_text(changed, encoding='utf-8')


def is_detected(
    directory: Path, mutation: Mutation, seed: int, seconds: float
) -> bool:
    """Returns whether the soak reports a breach of the mutated promise.

    Raises:
        SoakError: If the soak ends without a report, for instance because
            another run with the same seed uses its addresses.
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
        raise SoakError(finished.stderr.decode()[-MAX_PROBLEM_CHARACTERS:])
    report = json.loads(finished.stdout.splitlines()[-1])
    promises = {breach['promise'] for breach in report['breaches']}
    return mutation.promise in promises


def first_detecting_seed(
    mutation: Mutation, seeds: int, seconds: float
) -> int | None:
    """Returns the first seed that detects a mutation, or None."""
    with tempfile.TemporaryDirectory(prefix='planted-') as name:
        directory = Path(name)
        apply_mutation(directory, mutation)
        for seed in range(1, seeds + 1):
            if is_detected(directory, mutation, seed, seconds):
                return seed
    return None


def main(only: str = '', seeds: int = 5, seconds: float = 15) -> None:
    """Runs the soak against each mutation.

    Args:
        only: Promise whose mutation is run; all by default.
        seeds: Maximum number of seeds for each mutation.
        seconds: Duration of the faults in a run.
    """
    undetected = 0
    for mutation in MUTATIONS:
        if only not in {'', mutation.promise}:
            continue
        seed = first_detecting_seed(mutation, seeds, seconds)
        undetected += seed is None
        outcome = 'not detected' if seed is None else f'seed {seed}'
        print(f'{mutation.promise}: {outcome}', flush=True)
    sys.exit(1 if undetected else 0)


if __name__ == '__main__':
    fire.Fire(main)
