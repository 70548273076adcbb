"""Admits requests by their API keys, where the configuration has a list of teams."""

from __future__ import annotations

import logging
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import GiveUp, GiveUpReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from multidict import CIMultiDictProxy

    from wisterialoom.core.serving.request_flow import RequestFlow
    from wisterialoom.core.serving.routing import Deployment, Route
    from wisterialoom.core.teams import Team
    from wisterialoom.platform.exchange import Exchange

__all__ = ["Admission", "TeamGate"]

logger = logging.getLogger(__name__)

AUTHORIZATION = "Authorization"

DOUBT_RETRY_S = 0.5
"""`Retry-After` while the configuration may be outdated; it is confirmed within that
time unless the path to the store is lost.
"""

MAX_TEAM_LABELS = 200
"""Teams that are counted by name; requests of further ones count as `other`."""

LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines on refused keys; any caller can cause them."""


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request is admitted, and for which team.

    Attributes:
        result: What was found, for metrics.
        status: Status of the refusal; 0 if the request is admitted.
        team: Team of the request; `None` if there is none.
        guarded: Whether the configuration has a list of teams, so that servers get
            the team's name instead of the key.
    """

    result: str
    status: int = 0
    team: Team | None = None
    guarded: bool = True


class TeamGate:
    """Checks API keys at arrival and before each send.

    Attributes:
        get_deployment: Returns the deployment in force.
        is_config_in_doubt: Returns whether the configuration may be outdated.
        can_vouch: Returns whether keys of the configuration can still be relied on.
        may_lack_teams: Returns whether another instance may know of teams that the
            configuration lacks, as it comes from a restored store.
        counts: Checks at arrival by result.
        late_counts: Refusals after the arrival by result.
        team_counts: Admitted requests by team.
        logged_at: Monotonic time of the last log line on a refused key.
    """

    def __init__(
        self,
        get_deployment: Callable[[], Deployment | None],
        is_config_in_doubt: Callable[[], bool],
        can_vouch: Callable[[], bool] = lambda: True,
        may_lack_teams: Callable[[], bool] = lambda: False,
    ) -> None:
        self.get_deployment = get_deployment
        self.is_config_in_doubt = is_config_in_doubt
        self.can_vouch = can_vouch
        self.may_lack_teams = may_lack_teams
        self.counts: Counter[str] = Counter()
        self.late_counts: Counter[str] = Counter()
        self.team_counts: Counter[str] = Counter()
        self.logged_at = float("-inf")

    @property
    def needs_key(self) -> bool:
        """Whether the configuration asks for keys, or one that is newer may do so."""
        deployment = self.get_deployment()
        return deployment is not None and (
            deployment.teams.needs_key or self.may_lack_teams()
        )

    @property
    def is_vouching(self) -> bool:
        """Whether requests with keys are served, or none are needed."""
        return not self.needs_key or self.can_vouch()

    def check(self, headers: CIMultiDictProxy[str], route: Route) -> Admission:
        """Return whether a request is admitted now.

        Args:
            headers: Headers as the caller sent them.
            route: Route of the request.
        """
        deployment = self.get_deployment()
        if deployment is None or not self.needs_key:
            return Admission("no_teams", guarded=False)
        vouched = self.can_vouch()
        team = deployment.teams.identify(headers.getall(AUTHORIZATION, ()))
        if route.public:
            return Admission("public", team=team if vouched else None)
        if not vouched:
            return Admission("keys_in_doubt", 503)
        if team is not None:
            return Admission("identified", team=team)
        # A key that was added since the configuration was known to be current is
        # promised after this time, and no caller tries again after a 401.
        if self.is_config_in_doubt():
            return Admission("configuration_in_doubt", 503)
        return Admission("unauthorized", 401)

    def admit(self, exchange: Exchange, route: Route) -> Admission:
        """Check a request that has arrived, and answer it if it is refused."""
        admission = self.check(exchange.request.headers, route)
        if admission.guarded:
            self.counts[admission.result] += 1
        if admission.team is not None:
            self._count_team(admission.team.name)
        if admission.status:
            self._refuse(exchange, route, admission)
        return admission

    def _count_team(self, name: str) -> None:
        counts = self.team_counts
        if name not in counts and len(counts) >= MAX_TEAM_LABELS:
            name = "other"
        counts[name] += 1

    def _refuse(self, exchange: Exchange, route: Route, admission: Admission) -> None:
        retry_after_s = DOUBT_RETRY_S if admission.status == 503 else None
        exchange.respond(admission.status, admission.result, retry_after_s)
        now = time.monotonic()
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            logger.info(
                "key refused",
                extra={
                    "result": admission.result,
                    "route": route.name,
                    "headers": len(exchange.request.headers.getall(AUTHORIZATION, ())),
                    "refused": self.counts[admission.result],
                },
            )

    def _route_in_force(self, route: Route) -> Route:
        """Return what the configuration in force has in the place of a route."""
        deployment = self.get_deployment()
        if deployment is None:
            return route
        found = deployment.find_route(route.host, route.prefix)
        return found if found is not None else route

    def recheck(
        self, headers: CIMultiDictProxy[str], flow: RequestFlow
    ) -> GiveUp | None:
        """Return why a request must not be sent any more; `None` if it may be.

        Args:
            headers: Headers as the caller sent them.
            flow: The request, admitted at its arrival.
        """
        if not self.needs_key:
            return None
        profile = flow.profile
        admission = self.check(headers, self._route_in_force(profile.route))
        not_run = not flow.may_have_run
        team = admission.team.name if admission.team is not None else ""
        if not admission.status and not team:
            # It needs no key, and servers are told no other team than at its arrival.
            return None
        if admission.status == 401:
            self.late_counts["revoked"] += 1
            return GiveUp(GiveUpReason.KEY_REVOKED, not_run)
        if admission.status or team != profile.team:
            self.late_counts["in_doubt"] += 1
            return GiveUp(GiveUpReason.KEYS_IN_DOUBT, not_run, DOUBT_RETRY_S)
        return None
