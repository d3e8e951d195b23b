"""Processor time of a lookup and of a request, compared with bare libraries.

Each role runs in a separate process on loopback; its cost is the increase of
its `getrusage` processor time over the measured requests. The rounds of all
roles are interleaved, and the medians are printed. Goals: a lookup costs at
most 2 times a bare uvicorn response; a request that is not forwarded to a peer
costs at most 1.5 times the sum of a bare uvicorn response and a direct
httpcore request.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import resource
import signal
import statistics
import subprocess
import sys
import time
import typing

import anyio
import fire  # type: ignore[import-untyped]
import httpcore
import uvicorn

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.config import model as config_model
from wigeonhatch.requests import application
from wigeonhatch.requests import attempts
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import forward_client
from wigeonhatch.requests import keys
from wigeonhatch.requests import model
from wigeonhatch.requests import quarantine
from wigeonhatch.requests import server
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request

CONNECTIONS = 16
RESPONSE_BYTES = 200
LOOKUP_GOAL = 2.0
REQUEST_GOAL = 1.5
_WARM_UP = 2_000
_FIRST_PORT = 21_400
_BODY = b'x' * RESPONSE_BYTES
_HEADERS = [
    (b'content-type', b'text/plain'),
    (b'content-length', b'%d' % RESPONSE_BYTES),
]
_REQUEST = (
    b'GET %b HTTP/1.1\r\nHost: localhost\r\nAccept: */*\r\n'
    b'User-Agent: benchmark\r\nWigeonhatch-Deadline-Ms: 5000\r\n\r\n'
)
_LOOKUP = b'/.wigeonhatch/v1/lookup?service=svc&client=10.1.2.3&keys=1'


async def _bare_app(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': _HEADERS}
    )
    await send({'type': 'http.response.body', 'body': _BODY})


class _StubGrant:
    target = 't1'

    def release(
        self, result: dependencies.AttemptResult, latency_ms: int
    ) -> None:
        pass


@dataclasses.dataclass(frozen=True)
class Route:
    """Route that leads to one host."""

    host: str = 'h1'
    region: str = 'r1'
    is_local: bool = True
    is_spillover: bool = False


class DependencyStubs:
    """Stubs for slots, routes, peers, links and configuration; almost free."""

    def __init__(self, target: str) -> None:
        cap = config_model.Cap(10.0, 1_000)
        service = config_model.Service(64, 64, {'r1': 100.0}, cap)
        self.current = config_model.VersionedConfig(
            1,
            'c1',
            config_model.SteeringConfig(
                {'r1': config_model.Region(['d1'])},
                {},
                {'svc': service},
                {'t1': config_model.Target('svc', 'd1', target)},
            ),
            {},
        )
        self._grant: typing.Any = outcome.Success(_StubGrant())
        self.route = Route()

    async def acquire_within(
        self, request: dependencies.SlotRequest, wait_ms: int
    ) -> typing.Any:
        return self._grant

    def routes(
        self, service: str, bucket: int, bulk: bool, reserved: bool
    ) -> typing.Iterator[dependencies.Route]:
        yield self.route

    def on_request(self, service: str) -> None:
        pass

    def on_end(self, service: str, route: typing.Any) -> None:
        """Do nothing when a request ends."""

    def refusal(self, service: str, bucket: int) -> outcome.Failure:
        return outcome.Failure(codes.ResultCode.REGION_UNAVAILABLE)

    def stub(self, host: str) -> typing.Any:
        return None

    def acquire(self, request: dependencies.SlotRequest) -> typing.Any:
        return self._grant


class _InstantRunner:
    """Respond at once, to measure the callers' interface alone."""

    async def run(self, context: model.RequestContext) -> attempts.Result:
        reply: model.Reply = context.reply
        await reply.start(200, tuple(_HEADERS))
        await reply.write(_BODY, True)
        return outcome.Success(None)


def build_runner(
    stubs: typing.Any,
) -> tuple[attempts.RequestRunner, forward_client.ForwardClient]:
    """Build the request path of one host.

    Args:
        stubs: Stubs for slots, routes, peers, links and configuration.
    """
    clock = clocks.Clock()
    hosts = frozenset({'h1'})
    targets = target_client.TargetClient(clock)
    targets.configure(stubs.current)
    forwarder = forward_client.ForwardClient('r1', clock, stubs, stubs, stubs)
    runner = attempts.RequestRunner(
        'h1',
        clock,
        stubs,
        stubs,
        targets,
        keys.KeyTable('h1', 1, clock),
        forwarder,
        quarantine.QuarantineTable(
            'h1', lambda: quarantine.HostView(hosts, hosts), clock
        ),
    )
    return runner, forwarder


def build_application(
    stubs: typing.Any, runner: typing.Any, limits: settings.Limits
) -> application.Application:
    """Build the callers' interface of one host.

    Args:
        stubs: Stubs for slots, routes, peers, links and configuration.
        runner: Runner that handles the requests.
        limits: Limits on the requests of callers.
    """
    clock = clocks.Clock()
    table = keys.KeyTable('h1', 1, clock)
    hosts = [
        {'host': f'host-{i}', 'address': f'10.0.0.{i}:80', 'region': 'r1'}
        for i in range(7)
    ]

    def lookup(
        service: str, client: str, count: int
    ) -> outcome.Success[typing.Any]:
        return outcome.Success(
            {
                'service': service,
                'hosts': hosts,
                'ttl_ms': 5_000,
                'version': 1,
                'keys': table.issue(count),
            }
        )

    return application.Application(clock, limits, stubs, lookup, dict, runner)


def _report_on_signal() -> None:
    def report(*_: object) -> None:
        print(_processor_time_us(), flush=True)

    signal.signal(signal.SIGUSR1, report)


def _processor_time_us() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1e6


def _serve(app: typing.Any, port: int, is_bounded: bool) -> None:
    config = server.build_server_config(
        app,
        f'127.0.0.1:{port}',
        server.build_protocol(settings.Limits()),
    )
    if not is_bounded:
        config.http = 'httptools'
    _report_on_signal()
    uvicorn.Server(config).run()


async def _send_with_httpcore(target: str, count: int) -> None:
    """Send requests with httpcore alone, one connection per worker."""

    async def work() -> None:
        host, _, port = target.rpartition(':')
        origin = httpcore.Origin(b'http', host.encode(), int(port))
        async with httpcore.AsyncHTTPConnection(origin) as connection:
            for _ in range(count // CONNECTIONS):
                response = await connection.handle_async_request(
                    httpcore.Request(
                        b'GET',
                        httpcore.URL(
                            scheme=b'http',
                            host=origin.host,
                            port=origin.port,
                            target=b'/svc/x',
                        ),
                        headers=[
                            (b'Host', target.encode()),
                            (b'Accept', b'*/*'),
                            (b'User-Agent', b'benchmark'),
                            (b'Wigeonhatch-Deadline-Ms', b'5000'),
                        ],
                    )
                )
                content = await response.aread()
                await response.aclose()
                assert content == _BODY

    async with anyio.create_task_group() as tasks:
        for _ in range(CONNECTIONS):
            tasks.start_soon(work)


async def _send_with_client(target: str, count: int) -> None:
    """Send requests with the target client alone."""
    stubs = DependencyStubs(target)
    clock = clocks.Clock()
    client = target_client.TargetClient(clock)
    client.configure(stubs.current)
    head = target_request.RequestHead(
        'GET',
        b'/svc/x',
        (
            (b'accept', b'*/*'),
            (b'user-agent', b'benchmark'),
            (b'wigeonhatch-deadline-ms', b'5000'),
        ),
        0,
    )

    async def work() -> None:
        for _ in range(count // CONNECTIONS):
            sent = await client.send('t1', head, b'', clock.now_ms + 5_000)
            assert isinstance(sent, outcome.Success)
            assert await sent.value.read() == _BODY

    async with anyio.create_task_group() as tasks:
        for _ in range(CONNECTIONS):
            tasks.start_soon(work)


class _LoadProtocol(asyncio.Protocol):
    """Send each request when the response to the previous has arrived."""

    def __init__(
        self, request: bytes, count: int, done: asyncio.Future[None]
    ) -> None:
        self._request = request
        self._remaining = count
        self._done = done
        self._received = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast('asyncio.Transport', transport)
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, separator, body = self._received.partition(b'\r\n\r\n')
        if not separator:
            return
        assert head.startswith(b'HTTP/1.1 200'), self._received
        length = int(head.partition(b'content-length: ')[2].split(b'\r')[0])
        if len(body) < length:
            return
        self._received = b''
        self._remaining -= 1
        if self._remaining:
            self._transport.write(self._request)
        else:
            self._transport.close()
            self._done.set_result(None)


async def _send_load(port: int, path: bytes, count: int) -> None:
    loop = asyncio.get_running_loop()
    done_futures = []
    for _ in range(CONNECTIONS):
        done = loop.create_future()
        done_futures.append(done)
        build = functools.partial(
            _LoadProtocol, _REQUEST % path, count // CONNECTIONS, done
        )
        await loop.create_connection(build, '127.0.0.1', port)
    await asyncio.gather(*done_futures)


class _Process:
    """Server role that runs in a separate process."""

    def __init__(self, role: str, port: int, target: str) -> None:
        self.port = port
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'benchmarks.request_cost', 'serve']
            + [role, str(port), target],
            stdout=subprocess.PIPE,
            text=True,
        )

    def cost_us(self, path: bytes, count: int) -> float:
        """Measure the mean processor time of a request in us."""
        self._send_load(path, _WARM_UP)
        before = self._processor_time_us()
        self._send_load(path, count)
        return (self._processor_time_us() - before) / count

    def stop(self) -> None:
        """Stop the process and wait for its exit."""
        self._process.terminate()
        self._process.wait()

    def _send_load(self, path: bytes, count: int) -> None:
        run_uvloop(_send_load, self.port, path, count)

    def _processor_time_us(self) -> float:
        self._process.send_signal(signal.SIGUSR1)
        assert self._process.stdout is not None
        return float(self._process.stdout.readline())


def run_uvloop(function: typing.Any, *args: typing.Any) -> None:
    """Run an asynchronous function on uvloop, as the daemon does."""
    anyio.run(function, *args, backend_options={'use_uvloop': True})


def _client_cost_us(role: str, target: str, count: int) -> float:
    result = subprocess.run(
        [sys.executable, '-m', 'benchmarks.request_cost', 'send']
        + [role, target, str(count)],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return float(result.stdout)


def serve(role: str, port: int, target: str) -> None:
    """Run one server role until SIGTERM.

    Args:
        role: `bare`, `guarded`, `caller_side` or `entry`.
        port: Port on loopback.
        target: `IP:PORT` of the target.
    """
    if role in ('bare', 'guarded'):
        _serve(_bare_app, port, is_bounded=role == 'guarded')
    else:
        stubs = DependencyStubs(target)
        runner: typing.Any = build_runner(stubs)[0]
        if role == 'caller_side':
            runner = _InstantRunner()
        app = build_application(stubs, runner, settings.Limits())
        _serve(app, port, is_bounded=True)


def send(role: str, target: str, count: int) -> None:
    """Run one client role and print its cost per request in us.

    Args:
        role: `httpcore` or `target_client`.
        target: `IP:PORT` of the target.
        count: Number of measured requests.
    """
    function: typing.Any = (
        _send_with_httpcore if role == 'httpcore' else _send_with_client
    )

    async def measure() -> None:
        await function(target, _WARM_UP)
        before = _processor_time_us()
        await function(target, count)
        print((_processor_time_us() - before) / count)

    run_uvloop(measure)


def compare(rounds: int = 5, count: int = 6_400) -> int:
    """Measure all roles and print the medians.

    Args:
        rounds: Number of rounds, each with all roles.
        count: Requests per role and round.

    Returns:
        0 if both goals were met, else 1.
    """
    target = f'127.0.0.1:{_FIRST_PORT}'
    roles = ('bare', 'guarded', 'caller_side', 'entry')
    process_by_role = {
        role: _Process(role, _FIRST_PORT + i, target)
        for i, role in enumerate(roles)
    }
    time.sleep(2)
    costs: dict[str, list[float]] = {}
    try:
        for _ in range(rounds):
            for role, process in process_by_role.items():
                cost = process.cost_us(b'/svc/x', count)
                costs.setdefault(role, []).append(cost)
            cost = process_by_role['entry'].cost_us(_LOOKUP, count)
            costs.setdefault('lookup', []).append(cost)
            for role in ('httpcore', 'target_client'):
                cost = _client_cost_us(role, target, count)
                costs.setdefault(role, []).append(cost)
    finally:
        for process in process_by_role.values():
            process.stop()
    median = {role: statistics.median(c) for role, c in costs.items()}
    for role, cost in median.items():
        value_range = f'{min(costs[role]):.0f} to {max(costs[role]):.0f}'
        print(f'{role:>14}: {cost:6.0f} us ({value_range})')
    bare_sum = median['bare'] + median['httpcore']
    routing = median['entry'] - median['caller_side'] - median['target_client']
    print(f'{"routing, slots":>14}: {routing:6.0f} us')
    lookup_ratio = median['lookup'] / median['bare']
    request_ratio = median['entry'] / bare_sum
    print(f'lookup / bare: {lookup_ratio:.2f} (goal {LOOKUP_GOAL})')
    print(f'request / sum: {request_ratio:.2f} (goal {REQUEST_GOAL})')
    return int(lookup_ratio > LOOKUP_GOAL or request_ratio > REQUEST_GOAL)


def main(rounds: int = 5, count: int = 6_400) -> None:
    """Measure all roles and exit with 1 if a goal was missed.

    Args:
        rounds: Number of rounds, each with all roles.
        count: Requests per role and round.
    """
    sys.exit(compare(rounds, count))


if __name__ == '__main__':
    if len(sys.argv) > 1 and sys.argv[1] in ('serve', 'send'):
        fire.Fire({'serve': serve, 'send': send})
    else:
        fire.Fire(main)
