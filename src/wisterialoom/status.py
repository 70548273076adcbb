"""State of an entry instance, for `/status` and the gauges of `/metrics`."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.requests.classifier import model_lane

if TYPE_CHECKING:
    from wisterialoom.app import App
    from wisterialoom.core.configuration.document import Document, Model
    from wisterialoom.core.requests.server_view import ServerView

__all__ = ["Status"]


class Status:
    """Reads the state of the components without changing it.

    Attributes:
        app: The application whose state is reported.
    """

    def __init__(self, app: App) -> None:
        self.app = app

    def show(self) -> dict[str, Any]:
        """Return the state as JSON-ready data."""
        parts = self.app.parts
        path = parts.path
        views = path.router.views
        return {
            "instance": self.app.settings.instance.name,
            "availability_zone": self.app.settings.instance.availability_zone,
            "generation": parts.config.generation,
            "fresh": path.fresh,
            "draining": path.draining,
            "in_progress": len(path.in_flight_requests),
            "waiting": len(path.queue),
            "members": self._members(),
            "servers": [self._server_status(views[name]) for name in sorted(views)],
            "cold": self._cold_models(),
            "unreachable": self._unreachable_models(),
        }

    def _refresh_callers(self) -> None:
        """Update what is counted of the memory and connections of callers."""
        metrics, listeners = self.app.metrics, self.app.listeners
        metrics.set_gauge(
            "held_bytes",
            "Bytes held for requests and answers.",
            listeners.memory.budget.used,
        )
        for reason in ("memory", "too_large"):
            metrics.set_count(
                "bodies_refused_total",
                "Bodies and answers that were ended.",
                listeners.memory.refused[reason],
                {"reason": reason},
            )
        for name, runner in listeners.runners.items():
            for reason, value in {"memory": 0, **runner.limits.closed}.items():
                metrics.set_count(
                    "connections_closed_total",
                    "Connections that were closed by a limit.",
                    value,
                    {"listener": name, "reason": reason},
                )

    def _members(self) -> list[str]:
        others = self.app.parts.config.members
        return sorted({self.app.settings.instance.name, *others})

    def _server_status(self, view: ServerView) -> dict[str, Any]:
        load = view.load
        return {
            "name": view.server.name,
            "kind": view.server.kind,
            "availability_zone": view.server.availability_zone,
            "resident": sorted(load.resident) if load else [],
            "running": load.running if load else None,
            "waiting": load.waiting if load else None,
            "leaving": view.closed,
            "steward": load.steward if load else "",
            "in_flight": view.window.in_flight,
        }

    def _cold_models(self) -> list[str]:
        """Return the models and adapters that no server can serve now, sorted."""
        path = self.app.parts.path
        served: set[str] = set()
        for view in path.router.views.values():
            if not view.closed:
                served |= view.lanes
        names = path.classifier.models if path.classifier is not None else ()
        return sorted(name for name in names if model_lane(name) not in served)

    def _unreachable_models(self) -> list[dict[str, str]]:
        """Return the cold models that no engine can load, with the reason."""
        document = self.app.parts.config.document
        if document is None:
            return [{"model": "*", "reason": "no configuration is in force here"}]
        models = {model.name: model for model in document.models}
        bases = {adapter.name: adapter.model for adapter in document.adapters}
        reason = "no engine that takes work matches its selector and has the memory"
        return [
            {"model": name, "reason": reason}
            for name in self._cold_models()
            if not self._can_load(models[bases.get(name, name)], document)
        ]

    def _can_load(self, model: Model, document: Document) -> bool:
        selector = Selector.parse(model.servers)
        model_memory_mb = {
            x.name: x.memory_mb - x.adapter_pool_mb for x in document.server_groups
        }
        return any(
            view.server.kind == "engine"
            and not view.closed
            and selector.matches(view.server.labels)
            and model_memory_mb.get(view.server.group, 0) >= model.memory_mb
            for view in self.app.parts.path.router.views.values()
        )

    def refresh(self) -> None:
        """Update the gauges and the counters copied from components."""
        metrics = self.app.metrics
        path = self.app.parts.path
        gauge = metrics.set_gauge
        gauge(
            "generation",
            "Generation of the configuration in force.",
            self.app.parts.config.generation,
        )
        fresh = int(path.fresh)
        gauge("config_fresh", "1 while the configuration is current.", fresh)
        gauge(
            "requests_in_progress",
            "Requests in progress.",
            len(path.in_flight_requests),
        )
        gauge("requests_waiting", "Requests that wait.", len(path.queue))
        gauge("members", "Entry instances.", len(self._members()))
        count = metrics.set_count
        count(
            "late_events_total",
            "Events for requests already settled.",
            path.late_events,
        )
        count(
            "bad_requests_total",
            "Requests that could not be read.",
            self.app.caller_api.bad_requests,
        )
        count(
            "core_busy_seconds_total",
            "Processor time spent in decisions.",
            self.app.driver.busy_s,
        )
        self._refresh_callers()
        for name, value in vars(self.app.links.counters).items():
            if isinstance(value, int):
                count("peer_total", "Peer traffic by kind.", value, {"kind": name})
