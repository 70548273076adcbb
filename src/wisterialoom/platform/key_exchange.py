"""Asks other instances whether the configuration, and with it each key, is current."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from typing import TYPE_CHECKING

from wisterialoom.core.teams.key_validity import KeyValidity
from wisterialoom.platform._tasks import TaskGroup
from wisterialoom.platform.hints import KeysAnswer, KeysQuestion
from wisterialoom.platform.lease_manager import lease_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.platform.catalog import Catalog
    from wisterialoom.platform.peers import PeerLink
    from wisterialoom.platform.settings import Bounds

__all__ = ["KeyExchange"]

logger = logging.getLogger(__name__)

MIN_CHECK_S = 0.02
MAX_CHECK_S = 0.25
FIRST_ERA = 1
"""Era of a store that has never been restored."""

CHECK_SHARE = 0.025
"""Interval between two checks: a share of the bound on revoked keys, within limits."""


class KeyExchange:
    """Keeps `KeyValidity` up to date where requests need keys.

    Attributes:
        instance: Name of this instance.
        catalog: Configuration in force, and the own calls to the store.
        peers: Datagrams between instances.
        get_bounds: Returns the limits that operators set.
        find_watchers: Returns the names of the instances that read the store.
        find_holder: Returns the address of another instance that holds the placement
            lease; empty or `None` if there is none.
        get_heard_version: Returns the newest version of the configuration that an
            instance which reads the store has named.
        validity: Decides whether keys can be relied on.
        counts: Questions and answers by event.
        turn: Number of questions sent, to ask the instances in turn.
        was_vouching: Whether keys could be relied on, as last logged.
        tasks: The task that asks.
    """

    def __init__(
        self,
        instance: str,
        catalog: Catalog,
        peers: PeerLink,
        get_bounds: Callable[[], Bounds],
        find_watchers: Callable[[], list[str]],
        find_holder: Callable[[], str | None],
        get_heard_version: Callable[[], int],
        *,
        first_start: bool,
    ) -> None:
        self.instance = instance
        self.catalog = catalog
        self.peers = peers
        self.get_bounds = get_bounds
        self.find_watchers = find_watchers
        self.find_holder = find_holder
        self.get_heard_version = get_heard_version
        self.validity = KeyValidity(is_settled=first_start)
        self.counts: Counter[str] = Counter()
        self.turn = 0
        self.was_vouching = False
        self.tasks = TaskGroup()

    def start(self) -> None:
        """Start asking."""
        self.tasks.spawn(self._run())

    async def stop(self) -> None:
        """Stop asking."""
        await self.tasks.stop()

    @property
    def needs_key(self) -> bool:
        """Whether the configuration asks for the keys of teams."""
        deployment = self.catalog.dispatcher.deployment
        return deployment is not None and deployment.teams.needs_key

    def can_vouch(self) -> bool:
        """Return whether the keys of the configuration can be relied on now."""
        now = self._update()
        return self.validity.can_vouch(now)

    def may_lack_teams(self) -> bool:
        """Return whether a configuration without teams may be an older one."""
        if self.validity.is_settled:
            return False
        self._update()
        return self.validity.strict and not self.validity.is_settled

    def age_s(self) -> float:
        """Return the time since the configuration was certainly the newest."""
        return self.validity.age_s(self._update())

    def _update(self) -> float:
        """Take the settings and the own calls into account; return the time."""
        now = lease_clock()
        bounds = self.get_bounds()
        validity = self.validity
        validity.set_limits(strict=bounds.revoke_strict, revoke_s=bounds.revoke_s)
        validity.record_version(self.get_heard_version())
        validity.record_read(
            now,
            self.catalog.config.read_at,
            self.catalog.config_version,
            restored=self.catalog.config.store.era > FIRST_ERA,
        )
        return now

    async def _run(self) -> None:
        while True:
            share_s = CHECK_SHARE * self.get_bounds().revoke_s
            await asyncio.sleep(min(MAX_CHECK_S, max(MIN_CHECK_S, share_s)))
            self.step()

    def step(self) -> None:
        """Ask other instances if that is due."""
        now = self._update()
        vouching = self.validity.can_vouch(now)
        if not self.needs_key and self.validity.is_settled:
            return
        if vouching != self.was_vouching and self.validity.strict:
            self.was_vouching = vouching
            logger.log(
                logging.INFO if vouching else logging.WARNING,
                "keys are accepted" if vouching else "keys are refused",
                extra={"config_version": self.catalog.config_version},
            )
        serial = self.validity.ask(now)
        if serial is None:
            return
        question = KeysQuestion(self.instance, serial)
        address = self._choose()
        if address is not None:
            self.counts["asked"] += 1
            self.peers.send(question, address)

    def _choose(self) -> str | None:
        """Return the instance to ask: one that reads the store, each in turn."""
        members = self.peers.members
        found = [
            members[name]
            for name in self.find_watchers()
            if name in members and name != self.instance
        ]
        if not found:
            holder = self.find_holder()
            others = self.peers.addresses_except(self.instance)
            found += [holder] if holder and holder not in found else []
            found += [address for address in others if address not in found]
        self.turn += 1
        return found[self.turn % len(found)] if found else None

    def handle_hint(self, hint: KeysQuestion | KeysAnswer, address: str) -> None:
        """Answer a question, or take an answer.

        Args:
            hint: The message.
            address: Address of the sender.
        """
        now = self._update()
        version = self.catalog.config_version
        match hint:
            case KeysQuestion(serial=serial):
                age_s = self.validity.age_s(now)
                if version >= 0 and age_s < float("inf"):
                    self.counts["answered"] += 1
                    answer = KeysAnswer(self.instance, serial, version, age_s)
                    self.peers.send(answer, address)
            case KeysAnswer():
                confirms = self.validity.record_answer(
                    hint.serial, hint.config_version, hint.age_s, version
                )
                self.counts["confirmed" if confirms else "ignored"] += 1
