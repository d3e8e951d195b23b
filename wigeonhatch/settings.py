"""Settings of a daemon: addresses, failure domain and limits."""

from __future__ import annotations

import dataclasses
import ipaddress
import os
import pathlib
import re
import typing

import pydantic
from pydantic import dataclasses as pydantic_dataclasses

from wigeonhatch import codes
from wigeonhatch import outcome

_LoadedT = typing.TypeVar('_LoadedT')
CREDENTIAL_VARIABLE = 'WIGEONHATCH_CREDENTIAL'
_PORT = re.compile('[0-9]{1,5}', re.ASCII)
_STRICT = pydantic.ConfigDict(extra='forbid', strict=True)
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveInt = typing.Annotated[int, pydantic.Field(gt=0)]


def parse_address(text: str) -> tuple[str, int]:
    """Split an address into IP address and port.

    Args:
        text: `IP:PORT`; an IPv6 address is in brackets.

    Returns:
        IP address without brackets, and the port.

    Raises:
        ValueError: The text is not `IP:PORT`.
    """
    host, _, port = text.rpartition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise ValueError(f'{text!r} is not IP:PORT')
    if host.startswith('[') and host.endswith(']'):
        return str(ipaddress.IPv6Address(host[1:-1])), int(port)
    return str(ipaddress.IPv4Address(host)), int(port)


def _validate_address(text: str) -> str:
    parse_address(text)
    return text


Address = typing.Annotated[str, pydantic.AfterValidator(_validate_address)]


@pydantic_dataclasses.dataclass(frozen=True, config=_STRICT)
class Limits:
    """Limits on requests, connections and the shutdown of a daemon."""

    max_header_bytes: PositiveInt = 32_768
    max_body_bytes: PositiveInt = 2_000_000_000
    max_connections: PositiveInt = 2_000
    max_deadline_ms: PositiveInt = 60_000
    default_deadline_ms: PositiveInt = 10_000
    max_body_gap_ms: PositiveInt = 5_000
    max_keys_per_lookup: PositiveInt = 64
    stop_bound_ms: PositiveInt = 30_000


@pydantic_dataclasses.dataclass(frozen=True, config=_STRICT)
class Settings:
    """Settings of a daemon.

    Args:
        host: Name of this host in the configuration.
        domain: Failure domain of this host.
        caller_address: `IP:PORT` of the callers' interface.
        peer_address: `IP:PORT` of the peers' interface.
        operator_address: `IP:PORT` of the operators' interface.
        platform_url: Base URL of the platform.
        seeds: Addresses of peers to contact at startup.
        credential_file: File with the credential of operators and peers;
            the environment variable WIGEONHATCH_CREDENTIAL if empty.
        log_level: Minimum level of logged messages.
        limits: Limits on requests, connections and shutdown.
    """

    host: str
    domain: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    platform_url: str
    seeds: list[Address] = dataclasses.field(default_factory=list)
    credential_file: str = ''
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    limits: Limits = dataclasses.field(default_factory=Limits)


def describe_errors(
    error: pydantic.ValidationError, source: str
) -> typing.Iterator[str]:
    """Describe the errors of a failed validation.

    Args:
        error: Errors reported by pydantic.
        source: Name of the validated file or document.

    Yields:
        One line per error: path, expected and found value.
    """
    for item in error.errors(include_url=False):
        path = '.'.join(str(part) for part in item['loc']) or '(document)'
        if item['type'] in ('unexpected_keyword_argument', 'extra_forbidden'):
            expected = 'field does not exist'
        else:
            expected = item['msg']
        found = repr(item['input'])
        if item['type'] == 'missing':
            found = 'nothing'
        yield f'{source}: {path}: {expected}; found {found[:120]}'


def load_settings(
    path: str,
) -> outcome.Success[Settings] | outcome.Failure:
    """Read and validate the settings file of a daemon.

    Args:
        path: JSON file.

    Returns:
        The settings, or `SETTINGS_INVALID` with one line per error.
    """
    return load_validated(path, Settings)


def load_validated(
    path: str, dataclass_type: type[_LoadedT]
) -> outcome.Success[_LoadedT] | outcome.Failure:
    """Read a JSON file and validate it against a dataclass.

    Args:
        path: JSON file.
        dataclass_type: Pydantic dataclass to load.

    Returns:
        The loaded object, or `SETTINGS_INVALID` with one line per error.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        return outcome.Failure(
            codes.ResultCode.SETTINGS_INVALID, f'{path}: {reason}'
        )
    try:
        loaded = pydantic.TypeAdapter(dataclass_type).validate_json(content)
    except pydantic.ValidationError as error:
        detail = '\n'.join(describe_errors(error, path))
        return outcome.Failure(codes.ResultCode.SETTINGS_INVALID, detail)
    return outcome.Success(loaded)


def read_credential(
    settings: Settings,
) -> outcome.Success[str] | outcome.Failure:
    """Read the credential of operators and peers.

    Args:
        settings: Settings of the daemon.

    Returns:
        The credential, or `SETTINGS_INVALID` if there is none.
    """
    return read_credential_from(settings.credential_file)


def read_credential_from(
    path: str,
) -> outcome.Success[str] | outcome.Failure:
    """Read a credential from a file or the environment.

    Args:
        path: File; the environment variable WIGEONHATCH_CREDENTIAL if empty.

    Returns:
        The credential, or `SETTINGS_INVALID` if there is none or it has
        characters that an HTTP header cannot carry.
    """
    if path:
        try:
            text = pathlib.Path(path).read_text()
        except (OSError, ValueError) as error:
            reason = getattr(error, 'strerror', None) or 'not readable'
            return outcome.Failure(
                codes.ResultCode.SETTINGS_INVALID,
                f'credential_file: {reason}',
            )
    else:
        text = os.environ.get(CREDENTIAL_VARIABLE, '')
    text = text.strip()
    if not text:
        return outcome.Failure(
            codes.ResultCode.SETTINGS_INVALID,
            f'no credential: set credential_file or {CREDENTIAL_VARIABLE}',
        )
    if not text.isascii() or not text.isprintable() or ' ' in text:
        return outcome.Failure(
            codes.ResultCode.SETTINGS_INVALID,
            'the credential may only contain printable ASCII characters '
            'other than spaces',
        )
    return outcome.Success(text)
