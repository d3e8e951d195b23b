"""Starts and stops the processes of an example deployment on loopback."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import httpcore

from wigeonhatch import settings as settings_module

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ROOT / 'examples'
CREDENTIAL = 'loopback-credential'
PLATFORM_ADDRESS = '127.0.0.1:7000'
_START_TIMEOUT_S = 60
_STOP_TIMEOUT_S = 45


def load_example(name: str) -> dict[str, typing.Any]:
    """Merge the configuration files of an example.

    Args:
        name: Name of the example.

    Returns:
        The merged document.
    """
    document: dict[str, typing.Any] = {}
    for path in sorted((EXAMPLES / name).glob('*.json')):
        for section, entries in json.loads(path.read_text()).items():
            document.setdefault(section, {}).update(entries)
    return document


@dataclasses.dataclass
class Process:
    """Process of the fleet."""

    name: str
    handle: subprocess.Popen[bytes]
    log: pathlib.Path


class Fleet:
    """Processes of a deployment: platform, targets and entry hosts.

    Args:
        document: Merged configuration.
        service_ms_by_name: Processing time of a request, in ms, by service.
        platform_address: Address of the platform stand-in.
    """

    def __init__(
        self,
        document: dict[str, typing.Any],
        service_ms_by_name: dict[str, float] | None = None,
        platform_address: str = PLATFORM_ADDRESS,
    ) -> None:
        self.document = document
        self.platform_address = platform_address
        self.process_by_name: dict[str, Process] = {}
        self._service_ms_by_name = service_ms_by_name or {}
        self._temp_folder = tempfile.TemporaryDirectory(prefix='wigeonhatch-')
        self.folder = pathlib.Path(self._temp_folder.name)

    @property
    def caller_addresses(self) -> list[str]:
        """Caller-facing addresses of all entry hosts."""
        hosts = self.document['host_by_name'].values()
        return [host['caller_address'] for host in hosts]

    @property
    def operator_addresses(self) -> list[str]:
        """Operator-facing addresses of all entry hosts."""
        hosts = self.document['host_by_name'].values()
        return [host['operator_address'] for host in hosts]

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it listens."""
        self._spawn(
            'platform',
            'wigeonhatch.standins.platform',
            f'--address={self.platform_address}',
        )
        self._wait_for_port(self.platform_address)

    def start_targets(self) -> None:
        """Start all targets and wait until they listen."""
        for name in self.document['target_by_name']:
            self.start_target(name)
        for target in self.document['target_by_name'].values():
            self._wait_for_port(target['address'])

    def start_target(self, name: str) -> None:
        """Start the process of one target."""
        target = self.document['target_by_name'][name]
        service = self.document['service_by_name'][target['service']]
        service_ms = self._service_ms_by_name.get(target['service'], 20.0)
        self._spawn(
            name,
            'wigeonhatch.standins.target',
            f'--name={name}',
            f'--address={target["address"]}',
            f'--slots={service["slots"]}',
            f'--connections={service["connections"]}',
            f'--service_ms={service_ms}',
        )

    def start_hosts(self) -> None:
        """Start all entry hosts and wait until they listen."""
        for name in self.document['host_by_name']:
            self.start_host(name)
        for address in self.caller_addresses:
            self._wait_for_port(address)

    def start_host(self, name: str, **overrides: typing.Any) -> None:
        """Start one entry host with loopback settings.

        Args:
            name: Name of the host.
            overrides: Settings that replace those of the example.
        """
        hosts = self.document['host_by_name']
        host = hosts[name]
        settings = {
            'host': name,
            'domain': host['domain'],
            'caller_address': host['caller_address'],
            'peer_address': host['peer_address'],
            'operator_address': host['operator_address'],
            'platform_url': f'http://{self.platform_address}',
            'seeds': [
                other['peer_address']
                for key, other in hosts.items()
                if key != name
            ],
            **overrides,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        self._spawn(name, 'wigeonhatch', 'entry', str(path))

    def start_baseline(self) -> None:
        """Start the baseline proxy in place of each entry host."""
        path = self.folder / 'merged.json'
        path.write_text(json.dumps(self.document))
        hosts = self.document['host_by_name']
        for number, (name, host) in enumerate(hosts.items()):
            self._spawn(
                name,
                'wigeonhatch.standins.baseline',
                f'--config={path}',
                f'--address={host["caller_address"]}',
                f'--offset={number * 3}',
            )
        for address in self.caller_addresses:
            self._wait_for_port(address)

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operator command against the hosts of the fleet.

        Args:
            arguments: Command and its arguments.

        Returns:
            The completed process with its output as text.
        """
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'wigeonhatch',
                *arguments,
                '--hosts=' + ','.join(self.operator_addresses),
            ],
            cwd=ROOT,
            env=_make_environment(),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply_configuration(self) -> None:
        """Apply the configuration and wait until all hosts serve.

        Raises:
            RuntimeError: The command failed.
            TimeoutError: A host does not serve within the start timeout.
        """
        folder = self.folder / 'configuration'
        folder.mkdir(exist_ok=True)
        (folder / '10-all.json').write_text(json.dumps(self.document))
        result = self.run_command('apply', str(folder))
        if result.returncode != 0:
            raise RuntimeError(result.stdout + result.stderr)
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while not self._are_all_serving():
            if time.monotonic() > deadline_s:
                raise TimeoutError('not all hosts reached the state serving')
            time.sleep(0.2)

    def read_status(self) -> dict[str, typing.Any]:
        """Read the status from an entry host.

        Raises:
            RuntimeError: The command failed.
        """
        result = self.run_command('status', '--json')
        if result.returncode != 0:
            raise RuntimeError(result.stdout + result.stderr)
        return dict(json.loads(result.stdout)['value'])

    def _are_all_serving(self) -> bool:
        hosts = self.read_status()['hosts']
        serving = [host for host in hosts if host['state'] == 'serving']
        return len(serving) == len(self.document['host_by_name'])

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.process_by_name[name].handle.send_signal(number)

    def wait_for_exit(
        self, name: str, timeout_s: float = _STOP_TIMEOUT_S
    ) -> int:
        """Wait until a process exits.

        Returns:
            Its exit status.
        """
        return self.process_by_name[name].handle.wait(timeout_s)

    def stop(self) -> dict[str, int]:
        """Stop all processes gracefully, hosts first.

        Returns:
            Exit status by process name.
        """
        hosts = [
            name
            for name in self.process_by_name
            if name in self.document['host_by_name']
        ]
        others = [name for name in self.process_by_name if name not in hosts]
        status_by_name: dict[str, int] = {}
        for group in (hosts, others):
            for name in group:
                handle = self.process_by_name[name].handle
                handle.send_signal(signal.SIGCONT)
                handle.terminate()
            for name in group:
                status_by_name[name] = self._wait_or_kill(name)
        return status_by_name

    def close(self) -> None:
        """Kill the remaining processes and remove the working folder."""
        for process in self.process_by_name.values():
            if process.handle.poll() is None:
                process.handle.kill()
                process.handle.wait()
        self._temp_folder.cleanup()

    def _wait_or_kill(self, name: str) -> int:
        handle = self.process_by_name[name].handle
        try:
            return handle.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            handle.kill()
            return handle.wait()

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = self.folder / f'{name}.log'
        with log.open('ab') as stream:
            handle = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                env=_make_environment(),
                stdout=stream,
                stderr=stream,
            )
        self.process_by_name[name] = Process(name, handle, log)

    def _wait_for_port(self, address: str) -> None:
        host, port = settings_module.parse_address(address)
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                socket.create_connection((host, port), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise TimeoutError(f'{address} does not accept connections')


def call(
    method: str, address: str, path: str, value: object = None
) -> typing.Any:
    """Call the control interface of a stand-in and decode the response.

    Args:
        method: HTTP method.
        address: `IP:PORT`.
        path: Request path with its query string.
        value: Request body, encoded as JSON.
    """
    body = b'' if value is None else json.dumps(value).encode()
    response = httpcore.request(
        method, f'http://{address}{path}', content=body
    )
    return json.loads(response.content)


def _make_environment() -> dict[str, str]:
    return {
        **os.environ,
        settings_module.CREDENTIAL_VARIABLE: CREDENTIAL,
        'PYTHONPATH': str(ROOT),
    }
