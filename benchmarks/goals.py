"""Compare measured figures with the stated goals."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure and its goal.

    Args:
        name: What was measured.
        value: Measured value.
        unit: Unit of the value.
        goal: Bound that the value must meet; None if there is none.
        at_least: Whether the goal is a lower bound, not an upper one.
    """

    name: str
    value: float
    unit: str
    goal: float | None = None
    at_least: bool = False

    @property
    def is_met(self) -> bool:
        """Whether the goal is met."""
        if self.goal is None:
            return True
        if self.at_least:
            return self.value >= self.goal
        return self.value <= self.goal


def print_figures(figures: list[Figure]) -> bool:
    """Print each figure with its goal.

    Args:
        figures: Measured figures.

    Returns:
        Whether all goals were met.
    """
    for figure in figures:
        goal = ''
        if figure.goal is not None:
            sign = '>=' if figure.at_least else '<='
            verdict = 'met' if figure.is_met else 'MISSED'
            goal = f'goal {sign} {figure.goal:g} {figure.unit}: {verdict}'
        print(f'{figure.name:58} {figure.value:10.2f} {figure.unit:10} {goal}')
    return all(figure.is_met for figure in figures)
