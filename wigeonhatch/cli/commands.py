"""Commands of the command line; each returns an exit status."""

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
from wigeonhatch.cli import confirmation
from wigeonhatch.cli import daemons
from wigeonhatch.cli import explain
from wigeonhatch.cli import render
from wigeonhatch.cli import reports
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

    All errors of all files are reported at once, each with the file, the
    path, what was found and what is allowed.

    Examples:
      wigeonhatch check examples/caroni
    """
    merged = merge.merge_folder(folder)
    if isinstance(merged, outcome.Failure):
        return reports.report(merged, json)
    checked = checks.check_merged(merged.value)
    if isinstance(checked, outcome.Failure):
        return reports.report(checked, json)
    counts = {
        'regions': len(checked.value.region_by_name),
        'hosts': len(checked.value.host_by_name),
        'services': len(checked.value.service_by_name),
        'targets': len(checked.value.target_by_name),
        'customers': len(checked.value.customer_by_name),
        'drains': len(checked.value.drain_by_name),
    }
    listed = ', '.join(f'{name}: {count}' for name, count in counts.items())
    return reports.finish(json, counts, [f'{folder}: no errors; {listed}'])


def diff(
    folder: str, *, hosts: str = '', settings: str = '', json: str = ''
) -> int:
    """Show what `apply` would change.

    wigeonhatch diff DIR [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch diff examples/caroni --hosts=127.0.0.1:7301,127.0.0.1:7302
    """
    merged = merge.merge_folder(folder)
    if isinstance(merged, outcome.Failure):
        return reports.report(merged, json)
    checked = checks.check_merged(merged.value)
    if isinstance(checked, outcome.Failure):
        return reports.report(checked, json)
    shown = _ask(
        hosts,
        settings,
        lambda client: client.read(wire.CONFIG_PATH, services.Shown),
    )
    if isinstance(shown, outcome.Failure):
        if shown.code is not codes.ResultCode.NOT_READY:
            return reports.report(shown, json)
        shown = outcome.Success(services.Shown(0, '', {}))
    current = shown.value
    document = drains.retain_command_drains(
        current.document, merged.value.document
    )
    found = diffs.diff_documents(current.document, document)
    lines = [render.clean(str(item)) for item in found]
    lines.append(
        f'differences from version {current.version}: {len(found)}; '
        f'`apply --base={current.version}` applies exactly these'
        if found
        else f'no differences from version {current.version}'
    )
    value = {'version': current.version, 'differences': found}
    return reports.finish(json, value, lines)


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
    """Make a folder of files the configuration.

    wigeonhatch apply DIR [--base=VERSION] [--wait_ms=MS] [--operator=NAME]
        [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    The folder replaces the whole configuration; drains set by `drain` are
    kept. With --base, the change is refused if another one was accepted
    after that version. The command waits until all reachable hosts have
    confirmed the version; --wait_ms=0 returns at once.

    Examples:
      wigeonhatch apply examples/caroni --hosts=127.0.0.1:7301
      wigeonhatch apply examples/caroni --base=4 --settings=operators.json
    """
    files = merge.read_folder(folder)
    if isinstance(files, outcome.Failure):
        return reports.report(files, json)
    base_version: int | None = None
    if base:
        number = _parse_number('--base', base, 2**53)
        if isinstance(number, outcome.Failure):
            return reports.report(number, json)
        base_version = number
    name = access.operator_name(operator)

    def make_body(change_id: str) -> object:
        return wire.ApplyBody(change_id, name, files.value, base_version)

    return _change(
        wire.APPLY_PATH, make_body, name, wait_ms, hosts, settings, json
    )


def show(*, hosts: str = '', settings: str = '', json: str = '') -> int:
    """Show the configuration in force.

    wigeonhatch show [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch show --hosts=127.0.0.1:7301
      wigeonhatch show --json | jq .value.version
    """
    shown = _ask(
        hosts,
        settings,
        lambda client: client.read(wire.CONFIG_PATH, services.Shown),
    )
    if isinstance(shown, outcome.Failure):
        return reports.report(shown, json)
    value = shown.value
    lines = [f'version {value.version}, change {value.change_id}']
    lines.extend(reports.dump(value.document).splitlines())
    return reports.finish(json, value, lines)


def status(*, hosts: str = '', settings: str = '', json: str = '') -> int:
    """Show hosts, versions, loads, splits in force and drains.

    wigeonhatch status [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch status --hosts=127.0.0.1:7301
    """
    found = _ask(
        hosts,
        settings,
        lambda client: client.read(wire.STATUS_PATH, services.Status),
    )
    if isinstance(found, outcome.Failure):
        return reports.report(found, json)
    return reports.finish(json, found.value, render.status(found.value))


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

    Requests in progress finish. The drain lasts until `undrain`, also when
    the files are applied again.

    Examples:
      wigeonhatch drain rota-board-3 --hosts=127.0.0.1:7301
      wigeonhatch drain entry-4 --settings=operators.json
    """
    return _edit(
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
    """Let a host or target receive new requests again.

    wigeonhatch undrain NAME [--wait_ms=MS] [--operator=NAME]
        [--hosts=IP:PORT,...] [--settings=FILE] [--json]

    Examples:
      wigeonhatch undrain rota-board-3 --hosts=127.0.0.1:7301
    """
    return _edit(
        wire.UNDRAIN_PATH, name, operator, wait_ms, hosts, settings, json
    )


def audit(
    *, limit: str = '20', hosts: str = '', settings: str = '', json: str = ''
) -> int:
    """Show accepted changes and steps of shifts, newest first.

    wigeonhatch audit [--limit=N] [--hosts=IP:PORT,...] [--settings=FILE]
        [--json]

    Examples:
      wigeonhatch audit --limit=5 --hosts=127.0.0.1:7301
    """
    number = _parse_number('--limit', limit, services.MAX_AUDIT_RECORDS)
    if isinstance(number, outcome.Failure):
        return reports.report(number, json)
    found = _ask(
        hosts,
        settings,
        lambda client: client.read(
            wire.AUDIT_PATH, services.AuditTrail, limit=number
        ),
    )
    if isinstance(found, outcome.Failure):
        return reports.report(found, json)
    return reports.finish(json, found.value, render.audit(found.value))


def list_codes(*, json: str = '', markdown: str = '') -> int:
    """List the result codes and exit statuses.

    wigeonhatch codes [--json] [--markdown]

    Examples:
      wigeonhatch codes
    """
    if _arguments.is_set(markdown):
        return reports.finish('', None, render.code_page())
    rows = list(render.code_rows())
    value = [dict(zip(render.CODE_HEADER, row)) for row in rows]
    return reports.finish(json, value, render.table(render.CODE_HEADER, rows))


COMMAND_BY_NAME: dict[str, _arguments.Command] = {
    'check': check,
    'diff': diff,
    'apply': apply,
    'show': show,
    'status': status,
    'drain': drain,
    'undrain': undrain,
    'audit': audit,
    'codes': list_codes,
    'explain': explain.explain,
    'entry': daemons.entry,
    'edge': daemons.edge,
}
SWITCHES = frozenset({'json', 'markdown'})


def _edit(
    path: str,
    name: str,
    operator: str,
    wait_ms: str,
    hosts: str,
    settings: str,
    json: str,
) -> int:
    by = access.operator_name(operator)

    def make_body(change_id: str) -> object:
        return wire.DrainBody(change_id, by, name)

    return _change(path, make_body, by, wait_ms, hosts, settings, json)


def _change(
    path: str,
    make_body: clients.MakeBody,
    operator: str,
    wait_ms: str,
    hosts: str,
    settings: str,
    json: str,
) -> int:
    limit_ms = _parse_number('--wait_ms', wait_ms, _MAX_WAIT_MS)
    if isinstance(limit_ms, outcome.Failure):
        return reports.report(limit_ms, json)
    if not names.is_name(operator):
        return reports.report(
            _usage(
                f'--operator: found {operator[:80]!r}; allowed: '
                f'{names.ALLOWED_FORMAT}'
            ),
            json,
        )

    async def run(
        client: clients.OperatorClient,
    ) -> outcome.Success[confirmation.Changed] | outcome.Failure:
        accepted = await client.write(path, make_body)
        if isinstance(accepted, outcome.Failure):
            return accepted
        confirmed = await confirmation.wait(
            client, accepted.value.version, limit_ms
        )
        return outcome.Success(confirmation.Changed(accepted.value, confirmed))

    done = _ask(hosts, settings, run)
    if isinstance(done, outcome.Failure):
        return reports.report(done, json)
    accepted, confirmed = done.value.accepted, done.value.confirmed
    verb = 'accepted' if accepted.changed else 'unchanged'
    lines = [f'version {accepted.version} {verb}']
    if accepted.changed:
        lines[0] += f', change {accepted.change_id}'
    code = codes.ResultCode.OK
    if isinstance(confirmed, services.Confirmation):
        lines.extend(confirmation.describe(confirmed))
        if confirmed.waiting or not confirmed.confirmed:
            code = codes.ResultCode.NOT_CONFIRMED
    elif isinstance(confirmed, outcome.Failure):
        lines.append(f'not confirmed: {confirmed.detail}')
        code = codes.ResultCode.NOT_CONFIRMED
    value = {
        'version': accepted.version,
        'change_id': accepted.change_id,
        'changed': accepted.changed,
        'confirmation': confirmed
        if isinstance(confirmed, services.Confirmation)
        else None,
    }
    if code is not codes.ResultCode.OK and not _arguments.is_set(json):
        sys.stderr.write(reports.title(code))
    return reports.finish(json, value, lines, code)


def _ask(
    hosts: str,
    settings: str,
    run: collections.abc.Callable[
        [clients.OperatorClient],
        collections.abc.Awaitable[outcome.Success[_ValueT] | outcome.Failure],
    ],
) -> outcome.Success[_ValueT] | outcome.Failure:
    found = access.find_access(hosts, settings)
    if isinstance(found, outcome.Failure):
        return found
    client = clients.OperatorClient(found.value, clocks.Clock())

    async def call() -> outcome.Success[_ValueT] | outcome.Failure:
        return await run(client)

    return anyio.run(call)


def _parse_number(name: str, text: str, maximum: int) -> int | outcome.Failure:
    if not re.fullmatch('[0-9]{1,16}', text, re.ASCII) or int(text) > maximum:
        return _usage(
            f'{name}: found {text[:80]!r}; allowed: a number from 0 to '
            f'{maximum}'
        )
    return int(text)


def _usage(detail: str) -> outcome.Failure:
    return outcome.Failure(codes.ResultCode.USAGE, detail)
