"""Prints the figures of `docs/design/team-quotas.md`, if run as a program."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from tests.allowance_fleet import AllowanceFleet, Network
from tests.test_allowance import LARGE, LIMITS, SMALL, USUAL
from wisterialoom.core.teams.allowance import Allowance
from wisterialoom.core.teams.allowance_ledger import AllowanceLedger
from wisterialoom.core.teams.quota_bound import QuotaBound
from wisterialoom.platform.hint_codec import decode_hint, encode_hint
from wisterialoom.platform.hints import AllowanceGranted, AllowanceWanted

if TYPE_CHECKING:
    from wisterialoom.core.teams import Quota

BOUND = QuotaBound()
COUNTS = (63, 91, 410)
COSTS = (500.0, 4000.0)
TEAMS: dict[str, Quota] = {
    **{f"large-{number}": LARGE for number in range(3)},
    **{f"small-{number}": SMALL for number in range(13)},
}


def offer(fleet: AllowanceFleet, excess: float, until: float, *, hot: bool) -> None:
    names = list(fleet.fronts)[1:]
    for team, limit in fleet.limits.items():
        at = names[-1:] if hot else names
        fleet.spread(team, excess * limit.rate_per_s, at, fleet.now, until, COSTS)


def over_quota(fleet: AllowanceFleet, team: str, since: float) -> float:
    """Return by how much the largest use in a window is above the quota."""
    limit = fleet.limits[team]
    quota = limit.rate_per_s * BOUND.window_s + limit.burst
    return fleet.most_in_window(team, since) / quota - 1.0


def print_calm() -> None:
    print("\n16 teams (3 large, 13 small), 1 to 4 ms, 55 s each\n")
    print(
        "| instances | use | messages/s | bytes/s in all | bytes/s each "
        "| large: refused | small: refused | largest use of the bound |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for count in COUNTS:
        for excess in (USUAL, 3.0):
            fleet = AllowanceFleet(count, TEAMS, 1)
            fleet.run(5.0)
            offer(fleet, excess, 60.0, hot=False)
            messages, size = fleet.message_count, fleet.message_bytes
            fleet.run(60.0)
            messages, size = fleet.message_count - messages, fleet.message_bytes - size
            shares = []
            for kind in ("large", "small"):
                names = [name for name in TEAMS if name.startswith(kind)]
                offered = sum(fleet.offered[name] for name in names)
                refused = sum(fleet.refused[name] for name in names)
                shares.append(f"{100 * refused / offered:.2f}%")
            worst = max(fleet.worst(team) for team in TEAMS)
            print(
                f"| {count} | {excess:.2f} of the limit | {messages / 55:.0f} "
                f"| {size / 55:.0f} | {size / 55 / count:.0f} | {shares[0]} "
                f"| {shares[1]} | {100 * worst:.0f}% |"
            )


def print_staleness() -> None:
    print("\n91 instances, by the delay and loss of messages\n")
    print(
        "| delay one way | loss | large: over the quota at 3 x | small: same "
        "| large: refused at 1/1.8 | small: same |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for delay_s in (0.001, 0.01, 0.03, 0.06):
        for loss in (0.0, 0.02):
            network = Network((0.5 * delay_s, 1.5 * delay_s), loss, loss)
            fleet = AllowanceFleet(91, LIMITS, 2, network)
            fleet.run(5.0)
            offer(fleet, 3.0, 60.0, hot=False)
            fleet.run(60.0)
            over = [f"{100 * over_quota(fleet, team, 5.0):+.1f}%" for team in LIMITS]
            refused = []
            for team, until in (("large", 60.0), ("small", 500.0)):
                fleet = AllowanceFleet(91, {team: LIMITS[team]}, 2, network)
                fleet.run(5.0)
                offer(fleet, USUAL, until, hot=False)
                fleet.run(until)
                refused.append(
                    f"{100 * fleet.refused[team] / fleet.offered[team]:.2f}%"
                )
            print(
                f"| {delay_s * 1e3:.0f} ms | {100 * loss:.0f}% | {over[0]} | {over[1]} "
                f"| {refused[0]} | {refused[1]} |"
            )


def print_holder_change() -> None:
    print("\nRefused in the 3.5 s after the holder is killed, at 1/1.8 of the limit\n")
    print("| instances | team | requests of | at all | at one |")
    print("| --- | --- | --- | --- | --- |")
    for count in COUNTS:
        for team, costs in (
            ("large", (100.0, 400.0)),
            ("large", COSTS),
            ("small", COSTS),
        ):
            shares = []
            for hot in (False, True):
                offered = refused = 0
                for seed in range(5):
                    fleet = AllowanceFleet(count, {team: LIMITS[team]}, seed)
                    fleet.run(5.0)
                    names = list(fleet.fronts)[1:]
                    names = names[-1:] if hot else names
                    rate = USUAL * LIMITS[team].rate_per_s
                    fleet.spread(team, rate, names, 5.0, 14.0, costs)
                    fleet.run(10.0)
                    before = fleet.offered[team], fleet.refused[team]
                    fleet.lose_holder("front-5")
                    fleet.run(13.5)
                    offered += fleet.offered[team] - before[0]
                    refused += fleet.refused[team] - before[1]
                shares.append(f"{100 * refused / max(1, offered):.0f}%")
            print(
                f"| {count} | {team} | {costs[0]:.0f} to {costs[1]:.0f} | {shares[0]} "
                f"| {shares[1]} |"
            )


def print_equal_shares() -> None:
    """Buckets of rate / count at each instance, as deep as the bound allows."""
    print("\nEqual shares without messages: refused at 1/1.8 of the limit\n")
    print(
        "| instances | large, at all | large, at one | small, at all | small, at one |"
    )
    print("| --- | --- | --- | --- | --- |")
    for count in COUNTS:
        shares = []
        for limit in (LARGE, SMALL):
            for hot in (False, True):
                shares.append(f"{100 * equal_share_loss(limit, count, hot=hot):.0f}%")
        print(f"| {count} | " + " | ".join(shares) + " |")


def equal_share_loss(limit: Quota, count: int, *, hot: bool) -> float:
    rng = random.Random(1)
    depth = (limit.burst + BOUND.room(limit)) / count
    rate = limit.rate_per_s / count
    levels, times = [depth] * count, [0.0] * count
    now = offered = refused = 0.0
    while now < 300.0:
        now += rng.expovariate(USUAL * limit.rate_per_s / (sum(COSTS) / 2))
        index = 0 if hot else rng.randrange(count)
        cost = rng.uniform(*COSTS)
        level = min(depth, levels[index] + rate * (now - times[index]))
        offered += 1
        if level >= cost:
            level -= cost
        else:
            refused += 1
        levels[index], times[index] = level, now
    return refused / offered


def print_cost() -> None:
    """Time to ask, encode, decode, grant, encode, decode and receive."""
    allowance = Allowance("front-1", 10, BOUND)
    ledger = AllowanceLedger(0.0, 1, BOUND)
    allowance.set_limits(0.0, BOUND, TEAMS)
    ledger.set_limits(0.0, BOUND, TEAMS)
    names = [f"front-{number}" for number in range(410)]
    allowance.set_instances(0.0, names)
    for name in names:
        ledger.handle(10.0, name, _ask(name))
    now = 10.0
    asked_s = granted_s = 0.0
    rounds = 2_000
    for number in range(rounds):
        now += 0.05
        ledger.record_heard(now, names)
        began = time.process_time()
        allowance.wait("large-0", 500.0, number)
        request = allowance.request(now)
        assert request is not None
        data = encode_hint(AllowanceWanted("front-1", request))
        asked_s += time.process_time() - began
        began = time.process_time()
        wanted = decode_hint(data)
        assert isinstance(wanted, AllowanceWanted)
        reply = ledger.handle(now, "front-1", wanted.request)
        assert reply is not None
        data = encode_hint(AllowanceGranted("front-2", reply))
        granted_s += time.process_time() - began
        began = time.process_time()
        granted = decode_hint(data)
        assert isinstance(granted, AllowanceGranted)
        allowance.receive(now, granted.reply)
        allowance.charge(now, "large-0", 500.0, number)
        allowance.stop_waiting("large-0", number)
        asked_s += time.process_time() - began
    print("\nProcessor time of a request and its reply, with 410 accounts\n")
    print(f"instance {1e6 * asked_s / rounds:.0f} us, ", end="")
    print(f"holder {1e6 * granted_s / rounds:.0f} us")


def _ask(name: str):
    asking = Allowance(name, 1, BOUND)
    asking.set_limits(10.0, BOUND, TEAMS)
    for team in TEAMS:
        asking.wait(team, 500.0, name)
    request = asking.request(10.0)
    assert request is not None
    return request


if __name__ == "__main__":
    print_cost()
    print_calm()
    print_staleness()
    print_equal_shares()
    print_holder_change()
