"""Result types of operations that can fail."""

from __future__ import annotations

import dataclasses
import typing

from wigeonhatch import codes

ValueT = typing.TypeVar('ValueT', covariant=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Success(typing.Generic[ValueT]):
    """Result of a successful operation."""

    value: ValueT


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Result of a failed operation.

    Args:
        code: Result code.
        detail: Human-readable description: what was found and expected.
        ran_override: Whether the request was run, if other than the code
            states.
    """

    code: codes.ResultCode
    detail: str = ''
    ran_override: codes.Ran | None = None

    @property
    def ran(self) -> codes.Ran:
        """Whether the request was run."""
        if self.ran_override is not None:
            return self.ran_override
        return codes.INFO_BY_CODE[self.code].ran

    @property
    def info(self) -> codes.CodeInfo:
        """Properties of the result code."""
        return codes.INFO_BY_CODE[self.code]
