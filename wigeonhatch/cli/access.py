"""Addresses and credential for the operators' commands."""

from __future__ import annotations

import dataclasses
import getpass
import os
import re

import pydantic
from pydantic import dataclasses as checked

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings

HOSTS_VARIABLE = 'WIGEONHATCH_HOSTS'
SETTINGS_VARIABLE = 'WIGEONHATCH_OPERATOR_SETTINGS'
_MAX_NAME_LENGTH = 63


@checked.dataclass(
    frozen=True, config=pydantic.ConfigDict(extra='forbid', strict=True)
)
class OperatorSettings:
    """Settings file of the operators' commands.

    Args:
        operator_addresses: `IP:PORT` of operators' interfaces, in the order
            in which they are tried.
        credential_file: File with the credential; the environment variable
            WIGEONHATCH_CREDENTIAL if empty.
    """

    operator_addresses: list[settings.Address]
    credential_file: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """How the commands reach the operators' interfaces."""

    addresses: list[str]
    credential: str = dataclasses.field(repr=False)


def find_access(
    hosts: str, settings_path: str
) -> outcome.Success[Access] | outcome.Failure:
    """Find the addresses and the credential.

    The addresses come from the first of: option, settings file of the
    option, settings file of the environment, addresses of the environment.

    Args:
        hosts: Value of `--hosts`, addresses separated by commas; may be
            empty.
        settings_path: Value of `--settings`; may be empty.

    Returns:
        The access; `USAGE` if no address is given or one is malformed,
        `SETTINGS_INVALID`.
    """
    path = settings_path or os.environ.get(SETTINGS_VARIABLE, '')
    loaded = OperatorSettings([])
    if path:
        result = settings.load_validated(path, OperatorSettings)
        if isinstance(result, outcome.Failure):
            return result
        loaded = result.value
    if hosts or not loaded.operator_addresses:
        text = hosts or os.environ.get(HOSTS_VARIABLE, '')
        addresses = [part.strip() for part in text.split(',') if part.strip()]
    else:
        addresses = loaded.operator_addresses
    if not addresses:
        return outcome.Failure(
            codes.ResultCode.USAGE,
            "no addresses of operators' interfaces: give "
            f'--hosts=IP:PORT,... or --settings=FILE, or set '
            f'{HOSTS_VARIABLE} or {SETTINGS_VARIABLE}',
        )
    for address in addresses:
        try:
            settings.parse_address(address)
        except ValueError:
            return outcome.Failure(
                codes.ResultCode.USAGE,
                f'--hosts: found {address[:80]!r}; allowed: IP:PORT, with an '
                'IPv6 address in brackets',
            )
    credential = settings.read_credential_from(loaded.credential_file)
    if isinstance(credential, outcome.Failure):
        return credential
    return outcome.Success(Access(addresses, credential.value))


def operator_name(given: str) -> str:
    """Name the operator for the audit trail.

    Args:
        given: Value of `--operator`; the login name if empty.
    """
    if given:
        return given
    try:
        login = getpass.getuser()
    except (OSError, KeyError, ImportError):
        login = ''
    cleaned = re.sub('[^0-9A-Za-z._-]', '-', login).lstrip('._-')
    return cleaned[:_MAX_NAME_LENGTH] or 'unknown'
