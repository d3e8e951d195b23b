"""Operator commands; each returns an exit status."""

from __future__ import annotations

import collections.abc
import re
import sys
import typing

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import _arguments
from wigeonhatch.cli import access
from wigeonhatch.cli import client as clients
from wigeonhatch.cli import code_list
from wigeonhatch.cli import confirmation
from wigeonhatch.cli import daemons
from wigeonhatch.cli import explain
from wigeonhatch.cli import render
from wigeonhatch.cli import reports
from wigeonhatch.cli import shifts
from wigeonhatch.config import check as checks
from wigeonhatch.config import diff as diffs
from wigeonhatch.config import drains
from wigeonhatch.config import merge
from wigeonhatch.config import names
from wigeonhatch.operators import service as services
from wigeonhatch.operators import wire

DEFAULT_WAIT_MS = 10_000
_MAX_WAIT_MS = 3_600_000
_ValueT = typing.TypeVar('_ValueT')


def check(folder: str, *, json: str = '') -> int:
    """Check a folder of configuration files without contacting a host.

    wigeonhatch check DIR [--json]

    Reports all errors, each with file, path, value found and values allowed.

    Examples:
      wigeonhatch check examples/caroni
    """
    merged = merge.merge_folder(folder)
    if isinstance(merged, outcome.Failure):
        return reports.print_failure(merged, json)
    checked = checks.check_merged(merged.value)
    if isinstance(checked, outcome.Failure):
        return reports.print_failure(checked, json)
    counts = {
        'regions': len(checked.value.region_by_name),
        'hosts': len(checked.value.host_by_name),
        'services': len(checked.value.service_by_name),
        'targets': len(checked.value.target_by_name),
        'customers': len(checked.value.customer_by_name),
        'drains': len(checked.value.drain_by_name),
    }
    summary = ', '.join(f'{name}: {count}' for name, count in counts.items())
    return reports.output(json, counts, [f'{folder}: no errors; {summary}'])


def diff(
    folder: str, *, hosts: str = '', settings: str = '', json: str = ''
) -> int:
    """Show the changes that `apply` would make.

    wigeonhatch diff DIR [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch diff examples/caroni --hosts=127.0.0.1:7301,127.0.0.1:7302
    """
    merged = merge.merge_folder(folder)
    if isinstance(merged, outcome.Failure):
        return reports.print_failure(merged, json)
    checked = checks.check_merged(merged.value)
    if isinstance(checked, outcome.Failure):
        return reports.print_failure(checked, json)
    response = _call_client(
        hosts,
        settings,
        lambda client: client.read(wire.CONFIG_PATH, services.Shown),
    )
    if isinstance(response, outcome.Failure):
        if response.code is not codes.ResultCode.NOT_READY:
            return reports.print_failure(response, json)
        response = outcome.Success(services.Shown(0, '', {}))
    current = response.value
    document = drains.retain_command_drains(
        current.document, merged.value.document
    )
    differences = diffs.diff_documents(current.document, document)
    lines = [render.sanitize(str(item)) for item in differences]
    lines.append(
        f'differences from version {current.version}: {len(differences)}; '
        f'`apply --base={current.version}` applies exactly these'
        if differences
        else f'no differences from version {current.version}'
    )
    value = {'version': current.version, 'differences': differences}
    return reports.output(json, value, lines)


def apply(
    folder: str,
    *,
    base: str = '',
    operator: str = '',
    wait_ms: str = str(DEFAULT_WAIT_MS),
    hosts: str = '',
    settings: str = '',
    json: str = '',
) -> int:
    """Replace the configuration by the files of a folder.

    wigeonhatch apply DIR [--base=VERSION] [--wait_ms=MS] [--operator=NAME]
        [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    The whole configuration is replaced, except for drains set by `drain`.
    With --base, the change is refused if another one was accepted after
    that version. The command waits until all reachable hosts have confirmed
    the version; --wait_ms=0 returns at once.

    Examples:
      wigeonhatch apply examples/caroni --hosts=127.0.0.1:7301
      wigeonhatch apply examples/caroni --base=4 --settings=operators.json
    """
    files = merge.read_folder(folder)
    if isinstance(files, outcome.Failure):
        return reports.print_failure(files, json)
    base_version: int | None = None
    if base:
        number = _parse_number('--base', base, 2**53)
        if isinstance(number, outcome.Failure):
            return reports.print_failure(number, json)
        base_version = number
    name = access.resolve_operator_name(operator)

    def make_body(change_id: str) -> object:
        return wire.ApplyBody(change_id, name, files.value, base_version)

    return _submit(
        wire.APPLY_PATH, make_body, name, wait_ms, hosts, settings, json
    )


def show(*, hosts: str = '', settings: str = '', json: str = '') -> int:
    """Show the configuration in force.

    wigeonhatch show [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch show --hosts=127.0.0.1:7301
      wigeonhatch show --json | jq .value.version
    """
    response = _call_client(
        hosts,
        settings,
        lambda client: client.read(wire.CONFIG_PATH, services.Shown),
    )
    if isinstance(response, outcome.Failure):
        return reports.print_failure(response, json)
    value = response.value
    lines = [f'version {value.version}, change {value.change_id}']
    lines.extend(reports.to_json(value.document).splitlines())
    return reports.output(json, value, lines)


def status(*, hosts: str = '', settings: str = '', json: str = '') -> int:
    """Show hosts, versions, loads, traffic splits and drains.

    wigeonhatch status [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch status --hosts=127.0.0.1:7301
    """
    result = _call_client(
        hosts,
        settings,
        lambda client: client.read(wire.STATUS_PATH, services.Status),
    )
    if isinstance(result, outcome.Failure):
        return reports.print_failure(result, json)
    return reports.output(json, result.value, render.status(result.value))


def drain(
    name: str,
    *,
    operator: str = '',
    wait_ms: str = str(DEFAULT_WAIT_MS),
    hosts: str = '',
    settings: str = '',
    json: str = '',
) -> int:
    """Stop new requests to a host or target.

    wigeonhatch drain NAME [--wait_ms=MS] [--operator=NAME]
        [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Requests in flight finish. Only `undrain` ends the drain; `apply` does not.

    Examples:
      wigeonhatch drain rota-board-3 --hosts=127.0.0.1:7301
      wigeonhatch drain entry-4 --settings=operators.json
    """
    return _submit_drain(
        wire.DRAIN_PATH, name, operator, wait_ms, hosts, settings, json
    )


def undrain(
    name: str,
    *,
    operator: str = '',
    wait_ms: str = str(DEFAULT_WAIT_MS),
    hosts: str = '',
    settings: str = '',
    json: str = '',
) -> int:
    """Resume new requests to a host or target.

    wigeonhatch undrain NAME [--wait_ms=MS] [--operator=NAME]
        [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch undrain rota-board-3 --hosts=127.0.0.1:7301
    """
    return _submit_drain(
        wire.UNDRAIN_PATH, name, operator, wait_ms, hosts, settings, json
    )


def audit(
    *, limit: str = '20', hosts: str = '', settings: str = '', json: str = ''
) -> int:
    """Show accepted changes and traffic shift steps, newest first.

    wigeonhatch audit [--limit=N] [--hosts=IP:PORT,...] [--settings=FILE]
        [--json]

    Examples:
      wigeonhatch audit --limit=5 --hosts=127.0.0.1:7301
    """
    number = _parse_number('--limit', limit, services.MAX_AUDIT_RECORDS)
    if isinstance(number, outcome.Failure):
        return reports.print_failure(number, json)
    result = _call_client(
        hosts,
        settings,
        lambda client: client.read(
            wire.AUDIT_PATH, services.AuditTrail, limit=number
        ),
    )
    if isinstance(result, outcome.Failure):
        return reports.print_failure(result, json)
    return reports.output(json, result.value, render.audit(result.value))


COMMAND_BY_NAME: dict[str, _arguments.Command] = {
    'check': check,
    'diff': diff,
    'apply': apply,
    'show': show,
    'status': status,
    'drain': drain,
    'undrain': undrain,
    'audit': audit,
    'codes': code_list.list_codes,
    'explain': explain.explain,
    'shifts': shifts.shifts,
    'entry': daemons.entry,
    'edge': daemons.edge,
}
SWITCHES = frozenset({'json', 'markdown'})


def _submit_drain(
    path: str,
    name: str,
    operator: str,
    wait_ms: str,
    hosts: str,
    settings: str,
    json: str,
) -> int:
    author = access.resolve_operator_name(operator)

    def make_body(change_id: str) -> object:
        return wire.DrainBody(change_id, author, name)

    return _submit(path, make_body, author, wait_ms, hosts, settings, json)


def _submit(
    path: str,
    make_body: clients.BodyFactory,
    operator: str,
    wait_ms: str,
    hosts: str,
    settings: str,
    json: str,
) -> int:
    timeout_ms = _parse_number('--wait_ms', wait_ms, _MAX_WAIT_MS)
    if isinstance(timeout_ms, outcome.Failure):
        return reports.print_failure(timeout_ms, json)
    if not names.is_name(operator):
        return reports.print_failure(
            _usage_error(
                f'--operator: found {operator[:80]!r}; allowed: '
                f'{names.ALLOWED_FORMAT}'
            ),
            json,
        )

    async def run(
        client: clients.OperatorClient,
    ) -> outcome.Success[confirmation.Change] | outcome.Failure:
        accepted = await client.write(path, make_body)
        if isinstance(accepted, outcome.Failure):
            return accepted
        state = await confirmation.wait_until_confirmed(
            client, accepted.value.version, timeout_ms
        )
        return outcome.Success(confirmation.Change(accepted.value, state))

    result = _call_client(hosts, settings, run)
    if isinstance(result, outcome.Failure):
        return reports.print_failure(result, json)
    accepted, state = result.value.accepted, result.value.state
    verb = 'accepted' if accepted.changed else 'unchanged'
    lines = [f'version {accepted.version} {verb}']
    if accepted.changed:
        lines[0] += f', change {accepted.change_id}'
    code = codes.ResultCode.OK
    if isinstance(state, services.Confirmation):
        lines.extend(confirmation.describe(state))
        if state.waiting or not state.confirmed:
            code = codes.ResultCode.NOT_CONFIRMED
    elif isinstance(state, outcome.Failure):
        lines.append(f'not confirmed: {state.detail}')
        code = codes.ResultCode.NOT_CONFIRMED
    value = {
        'version': accepted.version,
        'change_id': accepted.change_id,
        'changed': accepted.changed,
        'confirmation': (
            state if isinstance(state, services.Confirmation) else None
        ),
    }
    if code is not codes.ResultCode.OK and not _arguments.is_enabled(json):
        sys.stderr.write(reports.format_title(code))
    return reports.output(json, value, lines, code)


def _call_client(
    hosts: str,
    settings: str,
    run: collections.abc.Callable[
        [clients.OperatorClient],
        collections.abc.Awaitable[outcome.Success[_ValueT] | outcome.Failure],
    ],
) -> outcome.Success[_ValueT] | outcome.Failure:
    resolved = access.resolve_access(hosts, settings)
    if isinstance(resolved, outcome.Failure):
        return resolved
    client = clients.OperatorClient(resolved.value, clocks.Clock())

    async def call() -> outcome.Success[_ValueT] | outcome.Failure:
        return await run(client)

    return anyio.run(call)


def _parse_number(name: str, text: str, maximum: int) -> int | outcome.Failure:
    if not re.fullmatch('[0-9]{1,16}', text, re.ASCII) or int(text) > maximum:
        return _usage_error(
            f'{name}: found {text[:80]!r}; allowed: a number from 0 to '
            f'{maximum}'
        )
    return int(text)


def _usage_error(detail: str) -> outcome.Failure:
    return outcome.Failure(codes.ResultCode.USAGE, detail)
