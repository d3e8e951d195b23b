"""Tagged outcomes of operations that can fail."""

from __future__ import annotations

import dataclasses
import typing

from wigeonhatch import codes

ValueT = typing.TypeVar('ValueT', covariant=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Success(typing.Generic[ValueT]):
    """Successful outcome with its value."""

    value: ValueT


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Failed outcome.

    Args:
        code: Numbered result code.
        detail: What was found and what was expected, for a person.
        ran_override: Whether the request ran, if it differs from the
            default of the code.
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
        """Meaning of the result code."""
        return codes.INFO_BY_CODE[self.code]
