"""Addresses and credential of the operator interfaces."""

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
    """Settings file of the operator commands.

    Args:
        operator_addresses: `IP:PORT` of operator interfaces, in the order in
            which they are tried.
        credential_file: File with the credential; if empty, the credential
            is read from the environment variable WIGEONHATCH_CREDENTIAL.
    """

    operator_addresses: list[settings.Address]
    credential_file: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """Addresses and credential with which commands call the hosts."""

    addresses: list[str]
    credential: str = dataclasses.field(repr=False)


def resolve_access(
    hosts: str, settings_path: str
) -> outcome.Success[Access] | outcome.Failure:
    """Resolve the addresses and the credential.

    The addresses come from the first of these sources that has any:
    `--hosts`, the settings file named by `--settings` or else by the
    environment, and the addresses in the environment.

    Args:
        hosts: Value of `--hosts`, comma-separated addresses; may be empty.
        settings_path: Value of `--settings`; may be empty.

    Returns:
        The addresses and the credential; `USAGE` if there is no address or
        one is malformed; `SETTINGS_INVALID` if the settings file or the
        credential cannot be used.
    """
    path = settings_path or os.environ.get(SETTINGS_VARIABLE, '')
    file_settings = OperatorSettings([])
    if path:
        result = settings.load_validated(path, OperatorSettings)
        if isinstance(result, outcome.Failure):
            return result
        file_settings = result.value
    if hosts or not file_settings.operator_addresses:
        text = hosts or os.environ.get(HOSTS_VARIABLE, '')
        addresses = [item.strip() for item in text.split(',') if item.strip()]
    else:
        addresses = file_settings.operator_addresses
    if not addresses:
        return outcome.Failure(
            codes.ResultCode.USAGE,
            'no addresses of operator interfaces: pass '
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
    credential = settings.read_credential_from(file_settings.credential_file)
    if isinstance(credential, outcome.Failure):
        return credential
    return outcome.Success(Access(addresses, credential.value))


def resolve_operator_name(option: str) -> str:
    """Return the name of the operator for the audit trail.

    Args:
        option: Value of `--operator`; if empty, the login name is used.
    """
    if option:
        return option
    try:
        login = getpass.getuser()
    except (OSError, KeyError, ImportError):
        login = ''
    sanitized = re.sub('[^0-9A-Za-z._-]', '-', login).lstrip('._-')
    return sanitized[:_MAX_NAME_LENGTH] or 'unknown'
