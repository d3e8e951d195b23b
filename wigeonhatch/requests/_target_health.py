"""What the result of an attempt tells about its target and the request."""

from __future__ import annotations

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.balance import ejection
from wigeonhatch.balance import loads
from wigeonhatch.balance import pauses as pause_tables
from wigeonhatch.balance import picker as pickers
from wigeonhatch.requests import quarantine as quarantines
from wigeonhatch.requests import relay_model
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import crash_detector
from wigeonhatch.targets import reach as target_reach

_SERVER_ERROR = 500
_RESPONDED_CODES = frozenset(
    {
        codes.ResultCode.TARGET_SHED,
        codes.ResultCode.TARGET_PROTOCOL,
        codes.ResultCode.RESPONSE_INCOMPLETE,
    }
)
_UNRESPONSIVE_CODES = frozenset(
    {
        codes.ResultCode.TARGET_TIMEOUT,
        codes.ResultCode.DEADLINE_EXCEEDED_RUNNING,
        codes.ResultCode.TARGET_LOST,
    }
)

_UNREACHED_CODES = _UNRESPONSIVE_CODES | {
    codes.ResultCode.TARGET_CONNECT_FAILED
}


class TargetHealth:
    """Update the health of targets and their usual durations.

    Args:
        load_table: Usual durations by service.
        ejections: Outlier ejection of failing targets.
        pauses: Pauses that targets have asked for.
        quarantine: Requests that crash targets.
        crashes: Detects crashes of targets.
        client: HTTP client of the targets.
        reach: Detects that this host cannot reach the targets.
    """

    def __init__(
        self,
        load_table: loads.LoadTable,
        ejections: ejection.EjectionTable,
        pauses: pause_tables.PauseTable,
        quarantine: quarantines.QuarantineTable,
        crashes: crash_detector.CrashDetector,
        client: target_client.TargetClient,
        reach: target_reach.TargetReach,
    ) -> None:
        self._loads = load_table
        self._ejections = ejections
        self._pauses = pauses
        self._quarantine = quarantine
        self._crashes = crashes
        self._client = client
        self._reach = reach

    def on_result(
        self,
        request: relay_model.RelayRequest,
        fingerprint: int,
        pick: pickers.Pick,
        result: relay_model.Response | outcome.Failure,
        load: int,
        elapsed_ms: int,
        pause_ms: int,
    ) -> None:
        """Record the result of an attempt.

        Args:
            request: The request.
            fingerprint: Its fingerprint.
            pick: Target of the attempt.
            result: Response or failure.
            load: Requests in progress at the target when it started.
            elapsed_ms: Duration in ms.
            pause_ms: Pause that the target asked for, in ms; 0 for none.
        """
        target = pick.target
        name = target.name
        if isinstance(result, relay_model.Response):
            self._quarantine.on_served(fingerprint)
            if result.status >= _SERVER_ERROR:
                self._ejections.on_failure(
                    name, True, f'status {result.status}'
                )
            else:
                # A request sent before a pause does not end the trial.
                if not self._pauses.left_ms(target):
                    self._ejections.on_success(name)
                # Requests without an affinity key test the configuration.
                if load < target.slots and request.affinity_key:
                    self._loads.record_duration(
                        request.service, pick.is_home, elapsed_ms
                    )
            return
        is_disconnected = result.code in crash_detector.DISCONNECTED_CODES
        if is_disconnected:
            self._crashes.on_lost(name, target.started_ms, fingerprint)
        if result.code is codes.ResultCode.CALLER_GONE:
            self._ejections.on_inconclusive(name)
        elif pause_ms:
            self._ejections.on_pause(name)
        elif result.code is codes.ResultCode.TARGET_SHED and (
            load >= target.slots
        ):
            # A refusal by a full target is no sign of a fault.
            self._ejections.on_inconclusive(name)
        elif is_disconnected and self._quarantine.is_suspect(fingerprint):
            # The request may be the cause, and the target may soon be back.
            self._ejections.on_inconclusive(name)
        else:
            self._ejections.on_failure(
                name, result.code in _RESPONDED_CODES, result.code.name
            )
        if result.code in _UNRESPONSIVE_CODES:
            self._client.close_idle(name)
        if result.code in _UNREACHED_CODES:
            self._reach.on_unreached(name)
