"""Plans the placement of models and sends all orders while holding the lease."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.placement.fleet_demand import FleetDemand
from wisterialoom.core.placement.load_forecast import forecast_loads
from wisterialoom.core.placement.order import Action, Order, OrderOutcome
from wisterialoom.core.placement.placement_table import ServerPlacement
from wisterialoom.core.placement.planner import PlacementPlanner
from wisterialoom.core.placement.server_state import ServerState
from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import Released
from wisterialoom.platform.lease_manager import lease_clock, LeaseManager
from wisterialoom.platform.placement_feed import PlacementFeed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialoom.core.fleet import PlacementLease, WriteLease
    from wisterialoom.core.placement.fleet_demand import DemandReport
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.orders import OrderClient
    from wisterialoom.platform.peers import PeerLink
    from wisterialoom.platform.placement_view import PlacementView
    from wisterialoom.platform.store import StoreClient

__all__ = ["PlacementController"]

logger = logging.getLogger(__name__)

PLAN_INTERVAL_S = 0.1
"""Time between two plans; a new kind of waiting request triggers one immediately."""

IDLE_INTERVAL_S = 0.5
"""Time between two checks by an instance that does not hold the lease.

It is woken when it takes the lease.
"""

CUT_OFF_S = 0.3
"""Time for which no model server is reached before the lease is left to others."""

UNLOAD_NOTICE_S = 0.012
"""Time between announcing an unload to all instances and ordering it.

It covers two network hops between availability zones.
"""

STATE_LOG_INTERVAL_S = 2.0
"""Time between two log lines that show the state of all model servers."""

STATE_LOG_MODELS = 8
"""Number of busiest models whose request rate a line with the state shows."""

ADAPTER_READY_S = 0.015
"""Time after which an ordered adapter can serve; loading one takes less."""


class PlacementController:
    """Runs the lease manager and the planners, and sends their orders.

    Attributes:
        lease: State machine of the placement lease.
        lease_manager: Reads and writes the lease in the store.
        feed: Announces the placement to the other instances.
        placement: View of the placement on this instance.
        record_holder: Called with the name and address of the lease holder.
        demand: Demand reported by all instances.
        states: State of each model server by id.
        planners: Planner of each service by name.
        reports_in_progress: Ids of the servers whose report is being read.
        wake_event: Set to compute a plan immediately.
        holds_lease: Whether this instance held the lease at the last plan.
        state_logged_at: Monotonic time at which the state was last logged.
        cut_off_since: Monotonic time since which this instance reaches no model server
            while others do; `None` if it reaches one.
    """

    def __init__(
        self,
        lease: PlacementLease,
        store: StoreClient,
        orders: OrderClient,
        peers: PeerLink,
        dispatcher: Dispatcher,
        placement: PlacementView,
        record_holder: Callable[[str, str], None],
    ) -> None:
        self.lease = lease
        self.lease_manager = LeaseManager(
            lease,
            store,
            record_holder,
            self._on_lease_taken,
            self.is_cut_off,
            dispatcher.streams.history,
        )
        store.on_restore.append(self.lease_manager.record_era)
        self.orders = orders
        self.peers = peers
        self.dispatcher = dispatcher
        self.feed = PlacementFeed(lease, peers)
        self.placement = placement
        self.record_holder = record_holder
        self.demand = FleetDemand()
        self.states: dict[str, ServerState] = {}
        self.planners: dict[str, PlacementPlanner] = {}
        self.tasks = TaskGroup()
        self.cut_off_since: float | None = None
        self.reports_in_progress: set[str] = set()
        self.wake_event = asyncio.Event()
        self.holds_lease = False
        self.state_logged_at = float("-inf")

    def start(self) -> None:
        """Start managing the lease and planning."""
        self.tasks.supervise("lease", self.lease_manager.run)
        self.tasks.supervise("planner", self._run_planner)

    async def stop(self) -> None:
        """Cancel all tasks and release the lease."""
        release = self.lease.release()
        await self.tasks.stop()
        await self._release(release)

    async def _release(self, release: WriteLease | None) -> None:
        if release is None or not await self.lease_manager.release(release):
            return
        epoch = release.record.epoch
        logger.info("lease released", extra={"epoch": epoch})
        released = Released(self.lease.me, epoch)
        self.peers.send_all(released, self.peers.addresses_except(self.lease.me))

    # The lease.

    def is_cut_off(self) -> bool:
        """Return whether others reach model servers of which this instance has none."""
        deployment = self.dispatcher.deployment
        if deployment is None:
            return False
        now = time.monotonic()
        return any(
            service.engine is not None and self.dispatcher.ways.is_cut_off(now, name)
            for name, service in deployment.services.items()
        )

    async def _step_down_if_cut_off(self, now: float) -> None:
        """Release the lease if this instance can give no orders, but others can."""
        if not self.is_cut_off():
            self.cut_off_since = None
            return
        if self.cut_off_since is None:
            self.cut_off_since = now
        if now - self.cut_off_since < CUT_OFF_S or not self.lease.is_holder:
            return
        logger.warning("no model server is reached, lease left to others")
        await self._release(self.lease.release())

    def _on_lease_taken(self) -> None:
        logger.info("lease taken", extra={"epoch": self.lease.epoch})
        self.states.clear()
        self.planners.clear()
        self.feed.restart(self.placement.table.placements)
        self.record_holder(self.lease.me, self.lease.address)
        self.wake_event.set()

    # Planning.

    def record_demand(self, report: DemandReport) -> None:
        """Record a demand report.

        A plan is computed immediately if requests wait for a model or adapter that
        did not appear in the instance's previous report.

        Args:
            report: The demand report of one instance.
        """
        previous = self.demand.instances.get(report.instance)
        known = previous.report.waiting.keys() if previous is not None else set()
        self.demand.take(time.monotonic(), report)
        if report.waiting.keys() - known:
            self.wake_event.set()

    async def _run_planner(self) -> None:
        while True:
            await wait_for(self.wake_event, self._plan_pause_s())
            self.wake_event.clear()
            valid = self.lease.is_valid(lease_clock())
            if valid != self.holds_lease:
                self.holds_lease = valid
                logger.info(
                    "placement duty", extra={"held": valid, "epoch": self.lease.epoch}
                )
            if valid:
                self._plan()
                await self._step_down_if_cut_off(time.monotonic())

    def _plan_pause_s(self) -> float:
        """Return the time to the next plan, which is due early if a local load ends."""
        if not self.holds_lease:
            return IDLE_INTERVAL_S
        now = time.monotonic()
        ends = [
            state.done_at - now
            for state in self.states.values()
            if state.loading and state.is_local_load
        ]
        return max(0.005, min([PLAN_INTERVAL_S, *ends])) if ends else PLAN_INTERVAL_S

    def _plan(self) -> None:
        now = time.monotonic()
        self.demand.forget_old(now)
        self._update_states(now)
        for service, planner in self._update_planners().items():
            states = [
                self.states[server_id]
                for server_id, view in self.dispatcher.views.items()
                if view.server.service == service
                and not view.draining
                and now >= view.ejection.until
                and not view.is_restricted(now)
                and server_id in self.states
            ]
            for order in planner.decide(now, states, self.demand):
                self._start_order(now, planner, order)
        self._publish(now)
        if now - self.state_logged_at >= STATE_LOG_INTERVAL_S:
            self.state_logged_at = now
            self._log_state(now)

    def _log_state(self, now: float) -> None:
        rates = self.demand.model_rates(now)
        running = self.demand.running(now)
        busiest = sorted(rates, key=lambda name: -rates[name])[:STATE_LOG_MODELS]
        logger.info(
            "placement state",
            extra={
                "epoch": self.lease.epoch,
                "rates": {name: round(rates[name], 1) for name in busiest},
                "waiting": self.demand.waiting(now),
                "servers": {
                    server_id: {
                        "busy": sum(running.get(server_id, {}).values()),
                        "models": sorted(state.models),
                        "loading": state.loading,
                        "unloading": state.unloading,
                    }
                    for server_id, state in self.states.items()
                },
            },
        )

    def _update_planners(self) -> dict[str, PlacementPlanner]:
        deployment = self.dispatcher.deployment
        services = deployment.services if deployment is not None else {}
        for name, service in services.items():
            if service.engine is None:
                continue
            planner = self.planners.get(name)
            if planner is None:
                self.planners[name] = PlacementPlanner.from_engine(service.engine)
            else:
                planner.engine = service.engine
        for name in self.planners.keys() - services.keys():
            del self.planners[name]
        return self.planners

    def _update_states(self, now: float) -> None:
        engines = {
            server_id: view
            for server_id, view in self.dispatcher.views.items()
            if self.dispatcher.engine_of(view.server.service) is not None
        }
        for server_id in self.states.keys() - engines.keys():
            del self.states[server_id]
        for server_id, view in engines.items():
            state = self.states.get(server_id)
            if state is None or state.started_ms != view.server.started_ms:
                state = ServerState(server_id, view.server.started_ms)
                self.states[server_id] = state
            state.settle(now)
            report_needed = state.needs_report or state.occupied
            if (
                report_needed
                and now >= state.report_due
                and not view.is_restricted(now)
                and server_id not in self.reports_in_progress
            ):
                self.reports_in_progress.add(server_id)
                self.tasks.spawn(self._read_report(state, view.server.address))

    async def _read_report(self, state: ServerState, address: str) -> None:
        try:
            report = await self.orders.read_report(address, state.server_id)
        finally:
            self.reports_in_progress.discard(state.server_id)
        now = time.monotonic()
        if report is None:
            state.report_due = now + 0.5
            return
        state.record_report(now, report)
        self.wake_event.set()

    def _start_order(self, now: float, planner: PlacementPlanner, order: Order) -> None:
        state = self.states[order.server_id]
        view = self.dispatcher.views[order.server_id]
        state.record_sent(now, order)
        self.tasks.spawn(
            self._execute_order(planner, state, order, view.server.address)
        )

    async def _execute_order(
        self, planner: PlacementPlanner, state: ServerState, order: Order, address: str
    ) -> None:
        if not self.lease.is_valid(lease_clock()):
            state.order = None
            return
        if order.action is Action.UNLOAD and not order.adapter:
            # Announce the unload first, so that instances stop sending requests for the
            # model. Requests still in transit when it is ordered would be refused.
            state.announced = order.model
            self._announce_unload(state)
            await asyncio.sleep(UNLOAD_NOTICE_S)
            state.announced = ""
        outcome = await self.orders.send(order, address, self.lease.epoch)
        load_duration_s = 0.0
        idle = False
        if not order.adapter and order.action is Action.LOAD:
            load_duration_s = planner.load_duration_s(state, order.model)
        if order.action is Action.UNLOAD:
            running = self.demand.running(time.monotonic())
            idle = not any(
                resource.partition("/")[0] == order.model
                for resource in running.get(order.server_id, {})
            )
        state.record_answer(
            time.monotonic(), order, outcome, load_duration_s, idle=idle
        )
        if outcome is OrderOutcome.FENCED:
            self.lease.stop_holding(lease_clock())
        if order.adapter and outcome is OrderOutcome.ACCEPTED:
            await asyncio.sleep(ADAPTER_READY_S)
        self.wake_event.set()

    # Hints.

    def _announce_unload(self, state: ServerState) -> None:
        """Tell all instances that a server is about to unload a model."""
        others = self.peers.addresses_except(self.lease.me)
        self.feed.announce(state.server_id, _placement_of(state), others)
        self._publish(time.monotonic())

    def _addresses(self, names: Iterable[str]) -> dict[str, str]:
        """Return the address of each named instance, without this one."""
        members = self.peers.members
        return {
            name: members[name]
            for name in names
            if name in members and name != self.lease.me
        }

    def _publish(self, now: float) -> None:
        running = self.demand.running(now)
        confirmed = {
            server_id: state
            for server_id, state in self.states.items()
            if not (state.needs_report and not state.models)
        }
        placements = {
            server_id: _placement_of(state) for server_id, state in confirmed.items()
        }
        busy = {
            server_id: sum(running.get(server_id, {}).values())
            for server_id in confirmed
        }
        ready = forecast_loads(now, self.states, self._update_planners().values())
        waiting = self.demand.waiting_by_instance(now)
        waiting_at = {
            address: waiting[name] for name, address in self._addresses(waiting).items()
        }
        self.feed.publish(now, placements, busy, ready, waiting_at)
        self.placement.replace(now, placements, busy, ready)


def _placement_of(state: ServerState) -> ServerPlacement:
    return ServerPlacement(state.models, state.draining_models, state.count)
