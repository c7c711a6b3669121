"""The demo: a fleet on loopback whose parts are broken while callers call.

Prints what happened in words; the last line is JSON with the figures. The exit
code is 1 if a promise was broken.
"""

import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import msgspec

from standins import account
from standins.backend import Fault
from standins.caller import Plan, Surge
from standins.deployment import Deployment, Shape, put_json
from standins.platform import Fault as PlatformFault
from standins.processes import ignore_signals

SHAPE = Shape(
    hosts=6,
    services={'job': 6, 'archive': 6},
    organisations={
        'brunnen-nord': (60, 60),
        'brunnen-sued': (40, 40),
        'spa': (20, 20),
        'caretakers': (30, 30),
    },
    network=1,
)
LOAD_SHARE = 0.5
BOOKING_SHARE = 0.2
DURATION_S = 22
SURGE = Surge(13, 18, 10)
NOISY = 'caretakers'
WITHDRAWN = 'spa'
GRAY_SERVER = 'job-0'
KILLED_HOST = 'host-1'
FROZEN_HOST = 'host-2'
DRAINED_HOST = 'host-3'
FREEZE_S = 3
FORCE_LIMIT_S = 10
DRAIN_LIMIT_S = 25
CALLER_LIMIT_S = 15


class Demo:
    """Runs the fleet, breaks parts of it and writes the account.

    Attributes:
        started_at: Unix time at which the callers start.
        broken: Promises found broken while running.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.deployment = Deployment(SHAPE, directory)
        self.started_at = float(0)
        self.gray_at = float(0)
        self.withdrawn_at = float(0)
        self.broken: list[str] = []
        self.outputs: list[Path] = []

    def say(self, text: str) -> None:
        """Prints a line of the account with the time."""
        elapsed = time.time() - self.started_at if self.started_at else 0
        sys.stdout.write(f'{elapsed:6.1f} s  {text}\n')
        sys.stdout.flush()

    def run(self) -> int:
        """Runs the demo; returns the exit code."""
        self.say('starting the platform, 12 backend servers and 6 hosts')
        self.deployment.start()
        self.start_callers()
        for at, step in (
            (2, self.turn_gray),
            (5, self.withdraw_key),
            (7, self.kill_host),
            (9, self.freeze_host),
            (12, self.thaw_host),
            (13, self.announce_surge),
            (14, self.take_store_away),
            (17, self.bring_store_back),
            (18, self.change_configuration),
            (20, self.drain_host),
        ):
            self.wait_for(at)
            step()
        return self.finish()

    def wait_for(self, at: float) -> None:
        """Waits for a time after the start of the callers."""
        time.sleep(max(0, self.started_at + at - time.time()))

    def start_callers(self) -> None:
        """Starts the callers of each organisation."""
        self.started_at = time.time() + 1
        seeds = [entry.address for entry in self.deployment.hosts.values()]
        for name, (rate, _) in SHAPE.organisations.items():
            output = self.directory / f'calls-{name}.jsonl'
            plan = Plan(
                name,
                self.deployment.key_texts[name],
                rate * LOAD_SHARE,
                BOOKING_SHARE,
                self.started_at,
                DURATION_S,
                seeds,
                list(SHAPE.services),
                str(output),
                SURGE if name == NOISY else Surge(),
            )
            path = self.directory / f'plan-{name}.json'
            path.write_bytes(msgspec.json.encode(plan))
            self.outputs.append(output)
            self.deployment.processes.start(
                f'caller-{name}', 'standins.caller', str(path)
            )
        self.say(f'callers of {len(seeds)} hosts start')

    def turn_gray(self) -> None:
        """Makes a backend server stall while it passes health checks."""
        address = self.deployment.servers[GRAY_SERVER].address
        put_json(address, '/fault', Fault(stall=True))
        self.gray_at = time.time()
        self.say(f'{GRAY_SERVER} stalls real work but passes health checks')

    def withdraw_key(self) -> None:
        """Withdraws the key of an organisation while it calls."""
        self.deployment.withdraw_key(WITHDRAWN)
        self.withdrawn_at = time.time()
        self.say(f'the key of {WITHDRAWN} is withdrawn')

    def kill_host(self) -> None:
        """Kills a host; the list drops it."""
        self.deployment.processes.kill(KILLED_HOST)
        self.deployment.hosts.pop(KILLED_HOST)
        self.deployment.publish_lists()
        self.say(f'{KILLED_HOST} is killed')

    def freeze_host(self) -> None:
        """Stops a host's process."""
        process = self.deployment.processes.running[FROZEN_HOST]
        process.send_signal(signal.SIGSTOP)
        self.say(f'{FROZEN_HOST} is frozen for {FREEZE_S} s')

    def thaw_host(self) -> None:
        """Lets a frozen host go on."""
        process = self.deployment.processes.running[FROZEN_HOST]
        process.send_signal(signal.SIGCONT)
        self.say(f'{FROZEN_HOST} goes on')

    def announce_surge(self) -> None:
        """Says that an organisation overruns its rate now."""
        times = SURGE.factor * LOAD_SHARE
        self.say(f'{NOISY} sends {times:g} times its rate for 5 s')

    def take_store_away(self) -> None:
        """Takes the log and the lists away."""
        put_json(self.deployment.platform, '/fault', PlatformFault(down=True))
        self.say('the log and the lists are away')

    def bring_store_back(self) -> None:
        """Brings the log and the lists back."""
        put_json(self.deployment.platform, '/fault', PlatformFault())
        self.say('the log and the lists are back')

    def change_configuration(self) -> None:
        """Applies a change and waits until it is in force everywhere."""
        self.deployment.operate(
            'keys', 'issue', str(self.deployment.directory), NOISY
        )
        self.deployment.apply()
        applied_at = time.time()
        while not all(map(self.deployment.is_ready, self.deployment.hosts)):
            if time.time() - applied_at > FORCE_LIMIT_S:
                self.broken.append('a change is not in force everywhere')
                return
            time.sleep(0.1)
        took = time.time() - applied_at
        self.say(f'a change was in force on all hosts after {took:.1f} s')

    def drain_host(self) -> None:
        """Ends a host in good order."""
        self.say(f'{DRAINED_HOST} drains')
        code = self.deployment.processes.stop(DRAINED_HOST, DRAIN_LIMIT_S)
        self.deployment.hosts.pop(DRAINED_HOST)
        self.deployment.publish_lists()
        self.say(f'{DRAINED_HOST} ended with exit code {code}')
        if code != 0:
            self.broken.append(f'drain ended with exit code {code}')

    def finish(self) -> int:
        """Waits for the callers, checks the promises, prints the figures."""
        for name in SHAPE.organisations:
            process = self.deployment.processes.running[f'caller-{name}']
            process.wait(CALLER_LIMIT_S)
        figures = self.figures()
        for text in figures.promises_broken:
            self.say(f'BROKEN: {text}')
        if not figures.promises_broken:
            self.say('no promise was broken')
        sys.stdout.write(msgspec.json.encode(figures).decode())
        sys.stdout.write('\n')
        return 1 if figures.promises_broken else 0

    def figures(self) -> account.Account:
        """Returns the figures of the run."""
        lines = account.read_lines(self.outputs)
        reports = [
            self.deployment.report(name) for name in self.deployment.servers
        ]
        runs: Counter[str] = Counter()
        for seen in reports:
            runs.update(seen['runs'])
        broken = [*self.broken, *account.broken_runs(lines, runs, set(runs))]
        if sum(report['keys_seen'] for report in reports):
            broken.append('a backend server saw a key')
        withdrawal = self.withdrawal_seconds(lines)
        if withdrawal > account.WITHDRAWAL_LIMIT_S:
            broken.append('a withdrawn key worked for too long')
        overruns, wrongful = self.rate_figures(lines)
        if overruns:
            broken.append('an organisation got more than its rate and burst')
        detection, false_ejections = self.ejections()
        return account.Account(
            dict(Counter(line.outcome for line in lines)),
            detection,
            false_ejections,
            account.worst_served(lines, {WITHDRAWN, NOISY}),
            wrongful,
            overruns,
            sum(max(0, runs[line.call] - 1) for line in lines if line.booking),
            withdrawal,
            broken,
        )

    def withdrawal_seconds(self, lines: list[account.Line]) -> float:
        """Returns how long the withdrawn key went on working."""
        last = max(
            line.sent_at
            for line in lines
            if line.organisation == WITHDRAWN
            and line.outcome == account.COMPLETE
        )
        return round(max(0, last - self.withdrawn_at), 3)

    def rate_figures(
        self, lines: list[account.Line]
    ) -> tuple[int, dict[str, int]]:
        """Returns organisations over their rate and wrongful refusals."""
        overruns = 0
        wrongful = {}
        for name, mine in account.by_organisation(lines).items():
            rate, burst = SHAPE.organisations[name]
            overruns += account.largest_overrun(mine, rate, burst) > 0
            wrongful[name] = account.wrongful_refusals(mine, rate, burst)
        return overruns, wrongful

    def ejections(self) -> tuple[float | None, int]:
        """Returns the time to detection and the false ejections."""
        found = [
            line
            for line in account.read_decisions(self.directory, 'stage')
            if line['stage'] == 'out'
        ]
        times = [
            line['time'] - self.gray_at
            for line in found
            if line['server'] == GRAY_SERVER
        ]
        detection = round(min(times), 3) if times else None
        return detection, len(found) - len(times)


def main() -> int:
    """Runs the demo in a directory of its own."""
    directory = Path(tempfile.mkdtemp(prefix='teaselcove-demo-'))
    demo = Demo(directory)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = demo.run()
    except KeyboardInterrupt:
        code = 130
    finally:
        ignore_signals()
        demo.deployment.stop()
    if code:
        sys.stderr.write(f'logs are kept in {directory}\n')
    else:
        shutil.rmtree(directory)
    return code


if __name__ == '__main__':
    sys.exit(main())
