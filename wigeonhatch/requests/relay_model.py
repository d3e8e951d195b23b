"""Data of one request that a host relays to a target."""

from __future__ import annotations

import dataclasses

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.platform import messages
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import fingerprint
from wigeonhatch.requests import headers as fields
from wigeonhatch.routes import model as routes

_CREDENTIAL = b'authorization'
_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """Validated head of a request.

    Args:
        request_id: ID of this attempt, set by the caller.
        route: Route of the request.
        service: Service that the route selected.
        config_version: Version of the configuration that defines the route.
        method: HTTP method.
        path: Path with query, as the caller sent it.
        host_name: Value of the `Host` field.
        headers: End-to-end header fields, names in lower case.
        affinity_key: Affinity key; empty for none.
        received_ms: Arrival of the head on the monotonic clock in ms.
        deadline_ms: Deadline on the monotonic clock in ms.
        is_forwarded: Whether a peer forwarded it, so that this host must not.
    """

    request_id: bytes
    route: routes.Route
    service: str
    config_version: int
    method: str
    path: bytes
    host_name: bytes
    headers: fields.HeaderTuple
    affinity_key: bytes
    received_ms: int
    deadline_ms: int
    is_forwarded: bool = False

    @property
    def id_text(self) -> str:
        """Request ID as text, for the log and refusals."""
        return self.request_id.decode('ascii', 'replace')

    def compute_fingerprint(self, body: bodies.RequestBody) -> int:
        """Hash what repeats of the request have in common, at any host.

        The address of the caller is not part of it, since callers may use
        several.

        Args:
            body: Body of the request; only its length counts if it is too
                large to be buffered.
        """
        return fingerprint.compute_fingerprint(
            (
                self.method.encode(),
                self.host_name,
                self.path,
                self.affinity_key,
                fields.find(self.headers, _CREDENTIAL) or b'',
                body.content if body.is_small else b'%d' % body.length,
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Complete response of a target.

    Args:
        status: HTTP status.
        headers: Header fields for the caller, without `Content-Length`.
        body: Complete body.
        target: Name of the target.
    """

    status: int
    headers: fields.HeaderTuple
    body: bytes
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request that no target served.

    Args:
        failure: Cause, and whether the request may have run.
        retry_after_ms: Time after which the caller may retry in ms.
    """

    failure: outcome.Failure
    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """Results of the previous attempts of one request.

    Args:
        fingerprint: Identifies repeats of the request.
    """

    fingerprint: int = 0
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    send_count: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    failure: outcome.Failure | None = None
    target_fields: messages.TargetFields | None = None
    error_response: Response | None = None

    @property
    def rate_limit_per_s(self) -> float | None:
        """Rate limit in the last response; None without one."""
        fields = self.target_fields
        return None if fields is None else fields.max_rate_per_s

    @property
    def states_departure(self) -> bool:
        """Whether the target stated in the last response that it leaves."""
        fields = self.target_fields
        return fields is not None and fields.is_leaving

    @property
    def pause_ms(self) -> int:
        """Time without requests that the last response asked for, in ms."""
        fields = self.target_fields
        return 0 if fields is None else fields.pause_ms

    def record(
        self, result: Response | outcome.Failure, route: routes.Route
    ) -> Response | None:
        """Record the result of an attempt.

        Args:
            result: Response or failure.
            route: Route of the request.

        Returns:
            The response if it is final; None if a retry may be better.
        """
        if isinstance(result, outcome.Failure):
            self.failure = result
            if result.code is not codes.ResultCode.TARGET_CONNECT_FAILED:
                self.send_count += 1
            if result.ran is not codes.Ran.NOT_RUN:
                self.may_have_run = True
            return None
        self.send_count += 1
        self.may_have_run = True
        if (
            result.status >= _SERVER_ERROR
            and route.is_idempotent
            and self.error_response is None
            and self.send_count < route.max_attempts
        ):
            # Returned if no retry succeeds.
            self.error_response = result
            self.failure = outcome.Failure(
                codes.ResultCode.RESPONSE_INCOMPLETE, f'status {result.status}'
            )
            return None
        return result
