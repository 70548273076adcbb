"""Fits straight lines through measured values."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

__all__ = ["Slope"]


@dataclass(frozen=True, slots=True)
class Slope:
    """A quantity of one role, measured at several sizes, with its fitted line.

    Attributes:
        role: Role that bears the cost.
        quantity: Name of the measured quantity.
        unit: Unit of the values.
        per: Name of the item that the size counts.
        sizes: Sizes at which the quantity was measured.
        values: Measured value at each size.
        slope: Change of the value per additional item.
        intercept: Value of the line at size 0.
        fit: Coefficient of determination: the share of the variance that the line
            explains, which is 1 if all values are on the line.
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
        """Fit a least-squares line through values by size.

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
            _explained_variance(sizes, values, line.slope, line.intercept),
        )


def _explained_variance(
    sizes: tuple[float, ...],
    values: tuple[float, ...],
    slope: float,
    intercept: float,
) -> float:
    mean = statistics.fmean(values)
    total = sum((value - mean) ** 2 for value in values)
    residual = sum(
        (value - slope * size - intercept) ** 2
        for size, value in zip(sizes, values, strict=True)
    )
    return 1.0 - residual / total if total else 1.0
