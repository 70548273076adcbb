"""Straight lines through measured values."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

__all__ = ["Slope"]


@dataclass(frozen=True, slots=True)
class Slope:
    """A quantity of one role, measured at several sizes, and its line.

    Attributes:
        role: The role that bears it.
        quantity: What was measured.
        unit: Unit of the values.
        per: What the size counts.
        sizes: Sizes measured at.
        values: Value at each size.
        slope: Change of the value for each one more of the size.
        intercept: Value of the line at size 0.
        fit: Share of the variance that the line explains; 1 is a straight line.
    """

    role: str
    quantity: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    fit: float

    @classmethod
    def through(
        cls, role: str, quantity: str, unit: str, per: str, points: dict[float, float]
    ) -> Slope:
        """Fit the least-squares line through values by size.

        Raises:
            statistics.StatisticsError: There are fewer than two sizes.
        """
        sizes = tuple(float(size) for size in points)
        values = tuple(points.values())
        line = statistics.linear_regression(sizes, values)
        return cls(
            role,
            quantity,
            unit,
            per,
            sizes,
            values,
            line.slope,
            line.intercept,
            _explained(sizes, values, line.slope, line.intercept),
        )


def _explained(
    sizes: tuple[float, ...],
    values: tuple[float, ...],
    slope: float,
    intercept: float,
) -> float:
    mean = statistics.fmean(values)
    total = sum((value - mean) ** 2 for value in values)
    left = sum(
        (value - slope * size - intercept) ** 2
        for size, value in zip(sizes, values, strict=True)
    )
    return 1.0 - left / total if total else 1.0
