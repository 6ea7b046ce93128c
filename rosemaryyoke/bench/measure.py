"""Figures beside their bounds, and the registry of benchmarks."""

from typing import Callable

from attrs import frozen

from rosemaryyoke.core import Registry


@frozen
class Measure:
    """A figure beside its bound; ``least`` tells that the bound is a lower one."""

    name: str
    value: float
    bound: float
    unit: str = ""
    least: bool = False

    @property
    def met(self) -> bool:
        """Tell whether the figure is within its bound."""
        if self.least:
            return self.value >= self.bound
        return self.value <= self.bound

    def __str__(self) -> str:
        sign = ">=" if self.least else "<="
        verdict = "met" if self.met else "MISSED"
        bound = f"({sign} {self.bound:.4g}) {verdict}"
        return f"{self.name}: {self.value:.3f} {self.unit} {bound}".replace("  ", " ")


bench: Registry[Callable[[], list[Measure]]] = Registry("benchmark")
