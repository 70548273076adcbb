"""Classification of requests: caller, traffic rule, traffic class and deadline."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wisterialoom.core.configuration.document import Traffic
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import Classified, Reason, Refusal, Request

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Caller, Document, TrafficClass
    from wisterialoom.core.notice_job import JobDue

__all__ = ["MODEL_PATHS", "Classifier", "model_lane", "service_lane"]

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
"""Paths that are served by model engines."""

MIN_JOB_ATTEMPT_S = 60.0
"""Least time until the first output granted to each attempt at a job, in seconds."""

_DEFAULT_RULE = Traffic(name="", path="*")


def model_lane(name: str) -> str:
    """Return the lane of a model or adapter."""
    return f"model:{name}"


def service_lane(selector: str) -> str:
    """Return the lane of the plain services behind a selector."""
    return f"service:{selector}"


@dataclass
class Classifier:
    """Applies one generation of the configuration document to requests.

    Attributes:
        callers: Callers by the digest of their API key.
        classes: Traffic classes by name.
        traffic: Traffic rules in document order; the first match applies.
        models: Names of models and adapters.
    """

    callers: dict[str, Caller] = field(default_factory=dict)
    classes: dict[str, TrafficClass] = field(default_factory=dict)
    traffic: tuple[Traffic, ...] = ()
    models: frozenset[str] = frozenset()

    @classmethod
    def from_document(cls, document: Document) -> Classifier:
        """Build a classifier from a validated document."""
        names = [model.name for model in document.models]
        names += [adapter.name for adapter in document.adapters]
        return cls(
            callers={item.api_key_sha256: item for item in document.callers},
            classes={item.name: item for item in document.traffic_classes},
            traffic=document.traffic,
            models=frozenset(names),
        )

    def classify(self, now: float, request: Request) -> Classified | Refusal:
        """Determine caller, rule, class and deadline of a request.

        Args:
            now: Monotonic time in seconds.
            request: The request as received.

        Returns:
            The classified request, or why it cannot be served.
        """
        caller = self.callers.get(request.api_key_sha256)
        if caller is None:
            return refuse(Reason.NO_CALLER)
        for_model = request.path in MODEL_PATHS
        rule = self._find_rule(request, caller.name)
        if for_model and request.model not in self.models:
            return refuse(Reason.NO_MODEL)
        if not for_model and (rule is None or not rule.servers):
            return refuse(Reason.NO_ROUTE)
        return self._apply_rule(now, request, caller, rule or _DEFAULT_RULE)

    def list_models(self, api_key_sha256: str) -> list[str] | Refusal:
        """Return the names of models and adapters that a caller may name, sorted.

        Args:
            api_key_sha256: Hex digest of the caller's API key; empty if none.
        """
        if api_key_sha256 not in self.callers:
            return refuse(Reason.NO_CALLER)
        return sorted(self.models)

    def classify_job(self, now: float, due: JobDue) -> Classified | None:
        """Classify an attempt at a job by the current configuration.

        Returns:
            `None` if the caller, the class or the model is no longer declared.
        """
        caller = next((x for x in self.callers.values() if x.name == due.caller), None)
        if caller is None or due.traffic_class not in self.classes:
            return None
        request = replace(due.request, api_key_sha256=caller.api_key_sha256)
        classified = self.classify(now, request)
        if isinstance(classified, Refusal):
            return None
        traffic_class = self.classes[due.traffic_class]
        left_s = max(due.max_wait_s - due.age_s, MIN_JOB_ATTEMPT_S)
        return replace(
            classified,
            request=due.request,
            traffic_class=due.traffic_class,
            idempotent=due.idempotent,
            arrived=now - due.age_s,
            deadline=now + left_s,
            load_wait_deadline=now + left_s,
            priority=traffic_class.priority,
            may_wait=True,
        )

    def _find_rule(self, request: Request, caller: str) -> Traffic | None:
        matching = (rule for rule in self.traffic if _matches(rule, request, caller))
        return next(matching, None)

    def _apply_rule(
        self, now: float, request: Request, caller: Caller, rule: Traffic
    ) -> Classified:
        name = rule.traffic_class or caller.traffic_class
        if request.priority in caller.classes:
            name = request.priority
        traffic_class = self.classes[name]
        target_s = (
            traffic_class.max_wait_s
            if traffic_class.may_wait
            else traffic_class.first_token_s
        )
        deadline = now + (request.deadline_s or target_s)
        for_model = request.path in MODEL_PATHS
        return Classified(
            request=request,
            caller=caller.name,
            traffic_class=name,
            idempotent=rule.idempotent,
            servers=rule.servers,
            arrived=now,
            deadline=deadline,
            load_wait_deadline=deadline
            if request.deadline_s
            else now + traffic_class.load_wait_s,
            priority=traffic_class.priority,
            may_wait=traffic_class.may_wait,
            weight=caller.weight,
            timeout_s=rule.timeout_s,
            lane=model_lane(request.model) if for_model else service_lane(rule.servers),
        )


def _matches(rule: Traffic, request: Request, caller: str) -> bool:
    if rule.path.endswith("*"):
        on_path = request.path.startswith(rule.path[:-1])
    else:
        on_path = request.path == rule.path
    return (
        on_path
        and (not rule.methods or request.method in rule.methods)
        and (not rule.callers or caller in rule.callers)
        and (not rule.models or request.model in rule.models)
    )
