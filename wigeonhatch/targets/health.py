"""Health probes of the targets that this host owns."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

import anyio
import anyio.abc
import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request

PROBE_INTERVAL_MS = 1_000
PROBE_DEADLINE_MS = 500
_JITTER = 0.2
_MAX_RESPONSE_BYTES = 4_096


class _HealthBody(msgspec.Struct):
    state: typing.Literal['ok', 'draining']
    in_use: typing.Annotated[int, msgspec.Meta(ge=0)]
    slots: typing.Annotated[int, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Health that a target reports; it may be outdated or wrong.

    Args:
        is_draining: Whether the target accepts no new requests.
        in_use: Requests in progress, as counted by the target.
        slots: Requests that the target runs concurrently, as it reports.
        received_ms: Monotonic time of receipt in ms.
    """

    is_draining: bool
    in_use: int
    slots: int
    received_ms: int


HealthResult = outcome.Success[HealthReport] | outcome.Failure
OnHealth = collections.abc.Callable[[str, HealthResult], None]

_HEAD = target_request.RequestHead('GET', b'/health', (), 0)


class HealthMonitor:
    """Probe each target once a second, in a task of its own.

    Args:
        client: HTTP client for the targets.
        clock: Source of monotonic time.
        on_health: Receives the name of the target and the result of each
            probe.
        seed: Seed of the jitter.
    """

    def __init__(
        self,
        client: target_client.TargetClient,
        clock: clocks.Clock,
        on_health: OnHealth,
        seed: int | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._on_health = on_health
        self._random = random.Random(seed)
        self._scope_by_target: dict[str, anyio.CancelScope] = {}
        self._targets: frozenset[str] = frozenset()
        self._task_group: anyio.abc.TaskGroup | None = None

    def watch(self, targets: collections.abc.Iterable[str]) -> None:
        """Set the targets to probe.

        Args:
            targets: Names of the targets; no others are probed any longer.
        """
        self._targets = frozenset(targets)
        if self._task_group is None:
            return
        for name in set(self._scope_by_target) - self._targets:
            self._scope_by_target.pop(name).cancel()
        for name in sorted(self._targets - set(self._scope_by_target)):
            scope = anyio.CancelScope()
            self._scope_by_target[name] = scope
            self._task_group.start_soon(self._probe_repeatedly, name, scope)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            try:
                self.watch(self._targets)
                await anyio.sleep_forever()
            finally:
                self._task_group = None
                self._scope_by_target.clear()

    async def probe(self, target: str) -> HealthResult:
        """Request the health of a target.

        Args:
            target: Name of the target.

        Returns:
            The report, or the failure of the probe.
        """
        deadline_ms = self._clock.now_ms + PROBE_DEADLINE_MS
        result = await self._client.send(target, _HEAD, b'', deadline_ms)
        if isinstance(result, outcome.Failure):
            return result
        response = result.value
        content = bytearray()
        try:
            while len(content) <= _MAX_RESPONSE_BYTES:
                chunk = await response.read()
                if isinstance(chunk, outcome.Failure):
                    return chunk
                if chunk is None:
                    return self._parse(response.status, bytes(content))
                content += chunk
        finally:
            await response.close()
        return _malformed('the response is too long')

    def _parse(self, status: int, content: bytes) -> HealthResult:
        if status != 200:
            return _malformed(f'status {status}')
        try:
            body = decoding.decode_json(content, _HealthBody)
        except decoding.DecodeError as error:
            return _malformed(str(error))
        return outcome.Success(
            HealthReport(
                body.state == 'draining',
                body.in_use,
                body.slots,
                self._clock.now_ms,
            )
        )

    async def _probe_repeatedly(
        self, target: str, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await self._clock.sleep_ms(
                int(self._random.random() * PROBE_INTERVAL_MS)
            )
            while True:
                self._on_health(target, await self.probe(target))
                jitter = 1 + _JITTER * (self._random.random() - 0.5)
                await self._clock.sleep_ms(int(PROBE_INTERVAL_MS * jitter))


def _malformed(detail: str) -> outcome.Failure:
    return outcome.Failure(codes.ResultCode.TARGET_PROTOCOL, detail)
