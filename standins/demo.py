"""Demo: injects faults into a fleet on loopback while callers send load.

Prints the course of events; the last line is JSON with the results. The exit
code is 1 if a guarantee was violated.
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
NOISY_ORGANISATION = 'caretakers'
WITHDRAWN_KEY_OWNER = 'spa'
STALLED_SERVER = 'job-0'
KILLED_HOST = 'host-1'
PAUSED_HOST = 'host-2'
DRAINED_HOST = 'host-3'
PAUSE_S = 3
APPLY_TIMEOUT_S = 10
DRAIN_TIMEOUT_S = 25
CALLER_TIMEOUT_S = 15


class Demo:
    """Runs the fleet, injects faults and reports the results.

    Attributes:
        started_at: Unix time at which the callers start.
        violations: Violated guarantees detected during the run.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.deployment = Deployment(SHAPE, directory)
        self.started_at = float(0)
        self.stalled_at = float(0)
        self.withdrawn_at = float(0)
        self.violations: list[str] = []
        self.outputs: list[Path] = []

    def print_event(self, text: str) -> None:
        """Prints an event with the seconds since the callers started."""
        elapsed = time.time() - self.started_at if self.started_at else 0
        sys.stdout.write(f'{elapsed:6.1f} s  {text}\n')
        sys.stdout.flush()

    def run(self) -> int:
        """Runs the demo; returns the exit code."""
        self.print_event(
            'starting the platform, 12 backend servers and 6 hosts'
        )
        self.deployment.start()
        self.start_callers()
        for at, step in (
            (2, self.stall_server),
            (5, self.withdraw_key),
            (7, self.kill_host),
            (9, self.pause_host),
            (12, self.resume_host),
            (13, self.announce_surge),
            (14, self.fail_platform),
            (17, self.restore_platform),
            (18, self.change_configuration),
            (20, self.drain_host),
        ):
            self.wait_for(at)
            step()
        return self.finish()

    def wait_for(self, at: float) -> None:
        """Waits until `at` seconds after the start of the callers."""
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
                SURGE if name == NOISY_ORGANISATION else Surge(),
            )
            path = self.directory / f'plan-{name}.json'
            path.write_bytes(msgspec.json.encode(plan))
            self.outputs.append(output)
            self.deployment.processes.start(
                f'caller-{name}', 'standins.caller', str(path)
            )
        self.print_event(f'callers start, with {len(seeds)} hosts to call')

    def stall_server(self) -> None:
        """Makes a backend server stall while it still passes health checks."""
        address = self.deployment.servers[STALLED_SERVER].address
        put_json(address, '/fault', Fault(stall=True))
        self.stalled_at = time.time()
        self.print_event(
            f'{STALLED_SERVER} stalls all calls but passes health checks'
        )

    def withdraw_key(self) -> None:
        """Withdraws the API key of an organisation that is sending calls."""
        self.deployment.withdraw_key(WITHDRAWN_KEY_OWNER)
        self.withdrawn_at = time.time()
        self.print_event(f'the key of {WITHDRAWN_KEY_OWNER} is withdrawn')

    def kill_host(self) -> None:
        """Kills a host and removes it from the host list."""
        self.deployment.processes.kill(KILLED_HOST)
        self.deployment.hosts.pop(KILLED_HOST)
        self.deployment.publish_lists()
        self.print_event(f'{KILLED_HOST} is killed')

    def pause_host(self) -> None:
        """Suspends the process of a host."""
        process = self.deployment.processes.running[PAUSED_HOST]
        process.send_signal(signal.SIGSTOP)
        self.print_event(f'{PAUSED_HOST} is paused for {PAUSE_S} s')

    def resume_host(self) -> None:
        """Resumes the process of the paused host."""
        process = self.deployment.processes.running[PAUSED_HOST]
        process.send_signal(signal.SIGCONT)
        self.print_event(f'{PAUSED_HOST} resumes')

    def announce_surge(self) -> None:
        """Prints that an organisation starts to exceed its rate."""
        factor = SURGE.factor * LOAD_SHARE
        self.print_event(
            f'{NOISY_ORGANISATION} sends {factor:g} times its rate for 5 s'
        )

    def fail_platform(self) -> None:
        """Makes the log service and the lists unavailable."""
        put_json(self.deployment.platform, '/fault', PlatformFault(down=True))
        self.print_event('the log and the lists are unavailable')

    def restore_platform(self) -> None:
        """Makes the log service and the lists available again."""
        put_json(self.deployment.platform, '/fault', PlatformFault())
        self.print_event('the log and the lists are available again')

    def change_configuration(self) -> None:
        """Applies a change and waits until all hosts have it."""
        self.deployment.run_command(
            'keys', 'issue', str(self.deployment.directory), NOISY_ORGANISATION
        )
        self.deployment.apply()
        applied_at = time.time()
        while not all(map(self.deployment.is_ready, self.deployment.hosts)):
            if time.time() - applied_at > APPLY_TIMEOUT_S:
                self.violations.append(
                    'a change did not reach all hosts in time'
                )
                return
            time.sleep(0.1)
        duration = time.time() - applied_at
        self.print_event(
            f'a change was in force on all hosts after {duration:.1f} s'
        )

    def drain_host(self) -> None:
        """Drains a host and waits for its exit."""
        self.print_event(f'{DRAINED_HOST} drains')
        code = self.deployment.processes.stop(DRAINED_HOST, DRAIN_TIMEOUT_S)
        self.deployment.hosts.pop(DRAINED_HOST)
        self.deployment.publish_lists()
        self.print_event(f'{DRAINED_HOST} exited with code {code}')
        if code != 0:
            self.violations.append(f'a drained host exited with code {code}')

    def finish(self) -> int:
        """Waits for the callers, checks the guarantees, prints the results."""
        for name in SHAPE.organisations:
            process = self.deployment.processes.running[f'caller-{name}']
            process.wait(CALLER_TIMEOUT_S)
        summary = self.summarize()
        for text in summary.promises_broken:
            self.print_event(f'BROKEN: {text}')
        if not summary.promises_broken:
            self.print_event('no promise was broken')
        sys.stdout.write(msgspec.json.encode(summary).decode())
        sys.stdout.write('\n')
        return 1 if summary.promises_broken else 0

    def summarize(self) -> account.DemoSummary:
        """Returns the results of the run."""
        lines = account.read_lines(self.outputs)
        reports = [
            self.deployment.report(name) for name in self.deployment.servers
        ]
        runs: Counter[str] = Counter()
        for server_report in reports:
            runs.update(server_report['runs'])
        violations = [
            *self.violations,
            *account.find_violations(lines, runs, set(runs)),
        ]
        if sum(report['keys_seen'] for report in reports):
            violations.append('a backend server saw a key')
        withdrawal = self.withdrawal_seconds(lines)
        if withdrawal > account.WITHDRAWAL_LIMIT_S:
            violations.append('a withdrawn key was accepted for too long')
        overruns, wrongful = self.check_rates(lines)
        if overruns:
            violations.append('an organisation exceeded its rate and burst')
        detection, false_ejections = self.ejections()
        return account.DemoSummary(
            dict(Counter(line.outcome for line in lines)),
            detection,
            false_ejections,
            account.worst_served(
                lines, {WITHDRAWN_KEY_OWNER, NOISY_ORGANISATION}
            ),
            wrongful,
            overruns,
            sum(max(0, runs[line.call] - 1) for line in lines if line.booking),
            withdrawal,
            violations,
        )

    def withdrawal_seconds(self, lines: list[account.Line]) -> float:
        """Returns for how many seconds the withdrawn key was still accepted."""
        last = max(
            line.sent_at
            for line in lines
            if line.organisation == WITHDRAWN_KEY_OWNER
            and line.outcome == account.COMPLETE
        )
        return round(max(0, last - self.withdrawn_at), 3)

    def check_rates(
        self, lines: list[account.Line]
    ) -> tuple[int, dict[str, int]]:
        """Returns the number of rate overruns and the wrongful refusals."""
        overruns = 0
        wrongful = {}
        for name, own_lines in account.group_by_organisation(lines).items():
            rate, burst = SHAPE.organisations[name]
            overruns += account.largest_overrun(own_lines, rate, burst) > 0
            wrongful[name] = account.wrongful_refusals(own_lines, rate, burst)
        return overruns, wrongful

    def ejections(self) -> tuple[float | None, int]:
        """Returns the detection time in seconds and the false ejections."""
        ejected = [
            line
            for line in account.read_decisions(self.directory, 'stage')
            if line['stage'] == 'out'
        ]
        detection_times = [
            line['time'] - self.stalled_at
            for line in ejected
            if line['server'] == STALLED_SERVER
        ]
        detection = round(min(detection_times), 3) if detection_times else None
        return detection, len(ejected) - len(detection_times)


def main() -> int:
    """Runs the demo in a temporary directory, kept if the run fails."""
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
