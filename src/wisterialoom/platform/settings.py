"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TYPE_CHECKING, TypeVar

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.fleet import LinkClass, ViewPromise
from wisterialoom.core.teams.quota_bound import QuotaBound

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["Bounds", "PlatformSettings", "SettingsError", "settings_path"]

Number = TypeVar("Number", int, float)

CONFIG_VARIABLE = "WISTERIALOOM_CONFIG"
DEFAULT_PATH = "/etc/wisterialoom/boot.toml"

POOL_CONTRACT = "pool"
"""Entry of `contracts` where the servers of a service share their load unevenly."""


class SettingsError(WisterialoomError):
    """Raised when the settings file cannot be read or decoded."""


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(CONFIG_VARIABLE, DEFAULT_PATH))


VIEW_SHARE = 0.4
"""Promised time for the view, as a share of the bound on revoked keys.

The view is then confirmed so often that keys are not refused before 0.6 of the bound.
"""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and retry budgets that the platform's operators set.

    Attributes:
        grace_s: Grace period: time between SIGTERM and SIGKILL.
        retry_ratio: Retries allowed per request, over all instances.
        retry_fixed: Retries allowed in addition in each window.
        retry_window_s: Time in seconds over which retries are limited.
        lease_s: Minimum time in seconds between the orders of two successive
            holders of the placement lease.
        fenced: Whether backend servers refuse orders with an old fencing number.
        config_apply_s: Time in seconds within which a confirmed configuration must be
            in force.
        drain_s: Time in seconds within which a server that is confirmed to leave must
            get no more requests.
        revoke_strict: Whether API keys are refused while it is not certain that they
            are still valid.
        revoke_s: Time in seconds after which a revoked API key must not be used.
        quota_window_s: Length in seconds of the windows in which the use of a team is
            counted.
        quota_overshoot: Part of the quota of a window by which use may exceed it.
        quota_slack: Cost by which use may exceed it in addition.
    """

    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_fixed: float = 50.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    fenced: bool = False
    config_apply_s: float = 2.0
    drain_s: float = 2.0
    revoke_strict: bool = False
    revoke_s: float = 5.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 17_000.0

    @property
    def promise(self) -> ViewPromise:
        """Limits on the age of an instance's view of the store."""
        config_s = self.config_apply_s
        if self.revoke_strict:
            config_s = min(config_s, VIEW_SHARE * self.revoke_s)
        return ViewPromise.from_config(config_s, self.drain_s)

    @property
    def quota(self) -> QuotaBound:
        """What teams may use above their quotas."""
        return QuotaBound(self.quota_window_s, self.quota_overshoot, self.quota_slack)

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> Bounds:
        """Decode the `bounds` table; missing entries have their defaults."""
        base = cls()
        return cls(
            grace_s=_not_negative(table, "graceS", base.grace_s),
            retry_ratio=_not_negative(table, "retryBudgetRatio", base.retry_ratio),
            retry_fixed=_not_negative(table, "retryBudgetSlack", base.retry_fixed),
            retry_window_s=_not_negative(table, "budgetWindowS", base.retry_window_s),
            lease_s=_not_negative(table, "leaseMs", base.lease_s * 1e3) / 1e3,
            fenced=bool(table.get("fencingEnforced", base.fenced)),
            config_apply_s=_positive_s(table, "configApplyMs", base.config_apply_s),
            drain_s=_positive_s(table, "drainMs", base.drain_s),
            revoke_strict=bool(table.get("revokeStrict", base.revoke_strict)),
            revoke_s=_positive_s(table, "revokeMs", base.revoke_s),
            quota_window_s=_positive(table, "quotaWindowS", base.quota_window_s),
            quota_overshoot=_not_negative(
                table, "quotaOvershoot", base.quota_overshoot
            ),
            quota_slack=_not_negative(table, "quotaSlack", base.quota_slack),
        )


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process.

    Attributes:
        instance: Name of this instance.
        ip: Address of this machine.
        availability_zone: Availability zone of this machine.
        front: `IP:port` at which callers are served.
        ready: `IP:port` at which readiness checks are answered.
        store: `IP:port` of the platform's store.
        peer_port: UDP port for datagrams between instances, the same on all machines.
        metrics_port: Port on which metrics are served; none if 0.
        bounds: Time limits and retry budgets.
        link_mbps: Rate of this machine's network link in Mbit/s.
        first_start: Whether the whole system starts for the first time.
        memory_mb: Memory of this machine; `None` if nothing is to be limited by it.
        max_fds: File descriptors that a process may open; `None` likewise.
        shares_servers: Whether the deployment's servers are a pool of uneven servers
            that callers compete for, whose capacity is then measured.
    """

    instance: str
    ip: str
    availability_zone: str
    front: str
    ready: str
    store: str
    peer_port: int
    metrics_port: int
    bounds: Bounds
    link_mbps: float = 1000.0
    first_start: bool = False
    memory_mb: float | None = None
    max_fds: int | None = None
    shares_servers: bool = False

    @property
    def link(self) -> LinkClass:
        """Class of the link; better ones are preferred for roles that send to all."""
        return LinkClass.from_mbps(self.link_mbps)

    @classmethod
    def from_environment(cls, metrics_port: int = 0) -> PlatformSettings:
        """Read the file that `WISTERIALOOM_CONFIG` names, or the default file.

        Args:
            metrics_port: Port on which metrics are served; none if 0.

        Raises:
            SettingsError: The file cannot be read, or lacks a field.
        """
        return replace(cls.from_file(settings_path()), metrics_port=metrics_port)

    @classmethod
    def from_file(cls, path: Path) -> PlatformSettings:
        """Read a settings file.

        Raises:
            SettingsError: The file cannot be read, or lacks a field.
        """
        try:
            table = tomllib.loads(path.read_text())
        except (OSError, ValueError, RecursionError) as error:
            raise SettingsError(
                f"cannot read {path}: {error}; check the file and {CONFIG_VARIABLE}"
            ) from error
        return cls.from_table(table)

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> PlatformSettings:
        """Decode a settings table.

        Raises:
            SettingsError: A field is missing or of another type.
        """
        try:
            listen = table["listen"]
            # `internalPorts` holds the first and the last port of a range that the
            # platform reserves for instances.
            first_port = table["internalPorts"][0]
            return cls(
                instance=str(table["nodeName"]),
                ip=str(table["ip"]),
                availability_zone=str(table["zone"]),
                front=str(listen["front"]),
                ready=str(listen["ready"]),
                store=str(table["platform"]["address"]),
                peer_port=int(first_port),
                metrics_port=0,
                bounds=Bounds.from_table(table.get("bounds", {})),
                link_mbps=float(table.get("limits", {}).get("linkMbps", 1000.0)),
                first_start=bool(table.get("bootstrap", False)),
                memory_mb=_optional(table, "memoryMb", float),
                max_fds=_optional(table, "maxFds", int),
                shares_servers=POOL_CONTRACT in table.get("contracts", ()),
            )
        except (
            LookupError,
            TypeError,
            ValueError,
            ArithmeticError,
            AttributeError,
        ) as error:
            raise SettingsError(
                f"the settings lack a usable field: {error!r}; "
                "compare the file with docs/reference-platform.md"
            ) from error


def _optional(
    table: Mapping[str, Any], name: str, decode: Callable[[Any], Number]
) -> Number | None:
    """Return a number of the table `limits`, or `None` if it has none.

    Raises:
        ValueError: The number is not above 0.
    """
    value = table.get("limits", {}).get(name)
    if value is None:
        return None
    found = decode(value)
    if not 0 < found < float("inf"):
        raise ValueError(f"limits.{name} must be above 0")
    return found


def _positive(table: Mapping[str, Any], name: str, default: float) -> float:
    """Return a number of a table.

    Raises:
        ValueError: The number is not above 0.
    """
    found = float(table.get(name, default))
    if not 0.0 < found < float("inf"):
        raise ValueError(f"bounds.{name} must be above 0")
    return found


def _not_negative(table: Mapping[str, Any], name: str, default: float) -> float:
    """Return a number of a table.

    Raises:
        ValueError: The number is below 0.
    """
    found = float(table.get(name, default))
    if not 0.0 <= found < float("inf"):
        raise ValueError(f"bounds.{name} must not be below 0")
    return found


def _positive_s(table: Mapping[str, Any], name: str, default_s: float) -> float:
    """Return a time of a table in seconds, which the table has in milliseconds.

    Raises:
        ValueError: The time is not above 0.
    """
    found_s = float(table.get(name, default_s * 1e3)) / 1e3
    if not 0.0 < found_s < float("inf"):
        raise ValueError(f"bounds.{name} must be above 0")
    return found_s
