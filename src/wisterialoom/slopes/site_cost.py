"""Measures the cost of each part by entries, engines, models, requests and claims."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from wisterialoom.lab.deployment import CONFIG_KEY
from wisterialoom.slopes.fit import Slope
from wisterialoom.slopes.site import Site, SiteSize

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["measure_claims", "measure_requests", "measure_sites", "measure_propagation"]

SETTLE_S = 90.0
"""Virtual time before a measurement begins, in seconds."""
WINDOW_S = 30.0
"""Virtual time of a measurement, in seconds."""
REQUESTS_PER_S = 20.0
BASE = SiteSize()

PROPAGATION_CHANGES = 5
"""Number of configuration changes, of which the slowest is reported."""

PROPAGATION_GAP_S = 7.3
PROPAGATION_LIMIT_S = 60.0

ROLES = {
    "ConfigFollower": "configuration relay",
    "Membership": "member",
    "ServerDirectory": "server directory",
    "EngineControllers": "server steward",
    "ClaimManager": "claim home",
    "RequestPath": "request path",
}
"""Role by class name of the part; other parts are listed by class name."""


def _settled_site(size: SiteSize) -> Site:
    site = Site(size)
    site.run(SETTLE_S)
    site.meter.clear()
    return site


def measure_sites(field: str, per: str, sizes: tuple[int, ...]) -> list[Slope]:
    """Return the slopes of idle costs over one field of `SiteSize`.

    Processor time and bytes are per entry instance and second; platform calls are
    per second for the whole deployment.

    Args:
        field: Name of the field to vary.
        per: Name of one item of that field in the table.
        sizes: Values of the field.
    """
    cpu: dict[str, dict[float, float]] = {}
    calls: dict[str, dict[float, float]] = {}
    sent: dict[float, float] = {}
    ledgers: dict[float, float] = {}
    for size in sizes:
        site = _settled_site(replace(BASE, **{field: size}))
        site.run(WINDOW_S)
        entry_seconds = WINDOW_S * site.size.entries
        for part, seconds in site.meter.cpu_s.items():
            cpu.setdefault(part, {})[float(size)] = seconds * 1e6 / entry_seconds
        for call, count in site.meter.calls.items():
            calls.setdefault(call, {})[float(size)] = count / WINDOW_S
        ledgers[float(size)] = site.meter.call_bytes["ledgers"] / WINDOW_S
        sent[float(size)] = sum(site.meter.sent_bytes.values()) / entry_seconds
    slopes = [
        Slope.through(ROLES.get(part, part), "processor when idle", "us/s", per, points)
        for part, points in cpu.items()
    ]
    slopes += [
        Slope.through("object API", call, "calls/s of the site", per, points)
        for call, points in calls.items()
        if len(points) == len(sizes)
    ]
    return [
        *slopes,
        Slope.through("object API", "ledgers written", "bytes/s", per, ledgers),
        Slope.through("member", "sent by an entry", "bytes/s", per, sent),
    ]


def measure_requests(sizes: tuple[int, ...]) -> list[Slope]:
    """Return the slope of the request path's processor time per request by engines."""
    costs = {}
    for size in sizes:
        site = _settled_site(replace(BASE, engines=size))
        site.run(WINDOW_S)
        idle_s = site.meter.cpu_s["RequestPath"]
        site.meter.clear()
        site.run_under_load(WINDOW_S, REQUESTS_PER_S)
        busy_s = site.meter.cpu_s["RequestPath"] - idle_s
        costs[float(size)] = busy_s * 1e6 / (WINDOW_S * REQUESTS_PER_S)
    role = ROLES["RequestPath"]
    return [Slope.through(role, "processor of a request", "us", "engine", costs)]


def measure_claims(rates: tuple[int, ...]) -> list[Slope]:
    """Return the slopes of claim costs by claims per second in the whole deployment."""
    quantities: dict[tuple[str, str], Callable[[Site], float]] = {
        ("processor of the site", "us/s"): lambda s: (
            s.meter.cpu_s["ClaimManager"] * 1e6
        ),
        ("bytes between entries", "bytes/s"): lambda s: (
            s.meter.sent_bytes["ClaimRequest"] + s.meter.sent_bytes["ClaimAnswer"]
        ),
        ("writes", "calls/s"): lambda s: s.meter.calls["WriteObject claims"],
        ("reads", "calls/s"): lambda s: s.meter.calls["ReadObject claims"],
        ("bytes written", "bytes/s"): lambda s: s.meter.call_bytes["claims"],
    }
    points: dict[tuple[str, str], dict[float, float]] = {x: {} for x in quantities}
    for rate in rates:
        site = _settled_site(replace(BASE, services=8))
        site.run_under_load(WINDOW_S, float(rate), claims=True)
        for key, read in quantities.items():
            points[key][float(rate)] = read(site) / WINDOW_S
    return [
        Slope.through("claim home", quantity, unit, "claim a second", values)
        for (quantity, unit), values in points.items()
    ]


def measure_propagation(sizes: tuple[int, ...]) -> list[Slope]:
    """Return the slope of the time until all entries apply a configuration change."""
    longest = {}
    for size in sizes:
        site = _settled_site(replace(BASE, entries=size))
        longest[float(size)] = max(
            _propagation_s(site) for _ in range(PROPAGATION_CHANGES)
        )
    role = "configuration relay"
    return [Slope.through(role, "change in force everywhere", "s", "entry", longest)]


def _propagation_s(site: Site) -> float:
    world = site.deployment.world
    world.run_for(PROPAGATION_GAP_S)
    version = world.store_port.put(CONFIG_KEY, site.deployment.body)
    started_at = world.now
    parts = site.deployment.entries.values()
    world.run_while(
        lambda: any(entry.config.generation < version for entry in parts),
        PROPAGATION_LIMIT_S,
    )
    return world.now - started_at
