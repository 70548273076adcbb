"""Counters and gauges of the components of one instance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wisterialoom.platform._tasks import restart_counts
from wisterialoom.platform.log import dropped_line_counts

if TYPE_CHECKING:
    from wisterialoom.platform.app import PlatformApp
    from wisterialoom.platform.store import StoreClient

__all__ = ["register_caller_metrics", "register_metrics"]


def register_metrics(app: PlatformApp, store: StoreClient) -> None:
    """Export the counters and gauges of the components.

    Args:
        app: The application, whose components exist.
        store: Client of the store.
    """
    metrics = app.metrics
    metrics.labeled_counter(
        "store_calls_total", "Calls.", "purpose", lambda: store.calls
    )
    metrics.labeled_counter(
        "store_restores_total",
        "Restores of the store from a copy.",
        "event",
        lambda: {"noticed": store.restores},
    )
    metrics.labeled_counter(
        "unreadable_objects_total",
        "Objects of the store that could not be decoded.",
        "kind",
        lambda: store.unreadable.counts,
    )
    metrics.labeled_counter(
        "response_faults_total",
        "Responses of servers, the store and instances that were malformed or cut.",
        "fault",
        lambda: app.response_faults,
    )
    metrics.gauge("store_era", "Era of the store.", lambda: store.era)
    metrics.labeled_counter(
        "orders_total",
        "Orders and reports.",
        "outcome",
        lambda: app.orders.counts,
    )
    metrics.labeled_counter(
        "hints_dropped_total",
        "Datagrams that could not be read or sent.",
        "reason",
        lambda: {
            "unreadable": app.peers.dropped,
            "unknown_kind": app.peers.skipped,
            "failed": app.peers.failed,
        },
    )
    metrics.labeled_counter(
        "task_restarts_total",
        "Background tasks that were restarted after an unexpected error.",
        "task",
        restart_counts,
    )
    metrics.labeled_counter(
        "hint_bytes_total",
        "Bytes of datagrams sent to other instances.",
        "kind",
        lambda: app.peers.sent_bytes,
    )
    metrics.labeled_counter(
        "log_lines_left_out_total",
        "Log lines beyond the bound, or that nobody read in time.",
        "reason",
        dropped_line_counts,
    )
    metrics.gauge(
        "watches_store",
        "Follows the store itapp.",
        lambda: app.relay.role.active,
    )
    metrics.gauge("active_requests", "In progress.", lambda: app.ingress.active)
    metrics.gauge("members", "Instances.", lambda: len(app.peers.members))
    metrics.gauge(
        "unreached_services",
        "Services of which no server is reached directly.",
        lambda: len(app.dispatcher.ways.paths.lost_services()),
    )
    metrics.labeled_counter(
        "helped_requests_total",
        "Requests of other instances that were passed on.",
        "result",
        lambda: app.helper_server.counts,
    )
    metrics.gauge(
        "slow_servers",
        "Servers that count as having less than 0.7 of their slots.",
        lambda: count_slow_servers(app),
    )
    metrics.gauge(
        "held_traits",
        "Traits of requests that are held back, as servers crashed on them.",
        lambda: app.dispatcher.crash_watch.quarantine.held_count,
    )
    metrics.labeled_counter(
        "server_crashes_total",
        "Servers that crashed with requests in progress.",
        "event",
        lambda: {"noticed": app.dispatcher.crash_watch.crash_count},
    )
    metrics.labeled_counter(
        "streams_taken_up_total",
        "Streams that callers took up, by who knew the version that began them.",
        "known_by",
        lambda: app.stream_exchange.counts,
    )
    metrics.gauge(
        "shared_stream_services",
        "Services with several software versions, whose streams are shared.",
        lambda: len(app.stream_exchange.shared_services),
    )
    metrics.labeled_counter(
        "quota_refusals_total",
        "Requests refused for their team's quota.",
        "reason",
        lambda: app.quota_exchange.refusals,
    )
    metrics.labeled_counter(
        "quota_messages_total",
        "Messages about allowance that were sent.",
        "kind",
        lambda: app.quota_exchange.messages,
    )
    metrics.labeled_counter(
        "quota_cost_total",
        "Cost that this instance granted as holder, and that it received.",
        "direction",
        lambda: {
            "granted": app.quota_exchange.granted_cost,
            "received": app.quota_exchange.allowance.received,
        },
    )
    metrics.gauge("servers", "Servers.", lambda: len(app.dispatcher.views))
    metrics.gauge(
        "limited_servers",
        "Servers that name a request rate.",
        lambda: sum(
            view.limit.limit_per_s is not None for view in app.dispatcher.views.values()
        ),
    )
    metrics.gauge(
        "placement_held",
        "Holds the placement lease.",
        lambda: app.placement_controller.holds_lease,
    )
    metrics.gauge(
        "waiting_requests",
        "Waiting.",
        lambda: sum(app.dispatcher.waiting.values()),
    )
    metrics.gauge(
        "config_version",
        "Configuration in force.",
        lambda: app.catalog.config_version,
    )
    metrics.labeled_counter(
        "team_checks_total",
        "API keys checked at arrival.",
        "result",
        lambda: app.ingress.team_gate.counts,
    )
    metrics.labeled_counter(
        "team_requests_total",
        "Requests that were admitted.",
        "team",
        lambda: app.ingress.team_gate.team_counts,
    )
    metrics.labeled_counter(
        "team_held_back_total",
        "Decisions to leave room to other teams while servers are full.",
        "event",
        lambda: {"held_back": app.dispatcher.fairness.held_back},
    )
    metrics.labeled_counter(
        "team_late_refusals_total",
        "Requests refused before a send by their API keys.",
        "result",
        lambda: app.ingress.team_gate.late_counts,
    )
    metrics.labeled_counter(
        "key_questions_total",
        "Messages about the age of the configuration.",
        "event",
        lambda: app.key_exchange.counts,
    )
    metrics.gauge("teams", "Teams of the configuration.", lambda: count_teams(app))
    metrics.gauge(
        "keys_needed",
        "Whether the configuration has a list of teams, which may be empty.",
        lambda: int(app.key_exchange.needs_key),
    )
    metrics.gauge(
        "keys_accepted",
        "Whether the configuration is new enough for its API keys.",
        lambda: app.ingress.team_gate.is_vouching,
    )
    metrics.gauge(
        "keys_age_seconds",
        "Since the configuration was certainly the newest.",
        app.key_exchange.age_s,
    )
    metrics.gauge(
        "config_age_seconds",
        "Since the configuration was known to be current.",
        lambda: time.monotonic() - app.catalog.config_current_at,
    )
    metrics.gauge(
        "view_age_seconds",
        "Since configuration and servers were known to be current.",
        lambda: time.monotonic() - app.catalog.current_at,
    )


def register_caller_metrics(app: PlatformApp) -> None:
    """Export what the listeners for callers count; they exist by now."""
    reader = app.ingress.memory
    app.metrics.labeled_counter(
        "bodies_refused_total",
        "Bodies that were refused.",
        "reason",
        lambda: reader.refused,
    )
    app.metrics.gauge(
        "held_bytes",
        "Bytes held for requests and answers.",
        lambda: reader.budget.used,
    )
    for name, server in (
        ("caller", app.front_server),
        ("ready", app.ready_server),
        ("peer", app.peer_server),
    ):
        if server.limits is not None:
            app.metrics.labeled_counter(
                f"{name}_connections_closed_total",
                "Connections that were closed by a limit.",
                "reason",
                lambda limits=server.limits: limits.closed,  # type: ignore[misc]
            )


def count_slow_servers(app: PlatformApp) -> int:
    """Return how many servers seem to have less than 0.7 of their slots."""
    now = time.monotonic()
    return sum(
        view.capacity.slots(now, view.server.slots) < 0.7 * view.server.slots
        for view in app.dispatcher.views.values()
        if view.capacity is not None
    )


def count_teams(app: PlatformApp) -> int:
    """Return the number of teams of the configuration."""
    deployment = app.dispatcher.deployment
    return len(deployment.teams.by_name) if deployment is not None else 0
