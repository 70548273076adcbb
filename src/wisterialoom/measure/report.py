"""Tables and plots of the scores."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from wisterialoom.measure.bound import EXPLANATION

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from wisterialoom.measure.score import Score

__all__ = ["scene_table", "write_plot", "write_report"]

_HEAD = (
    "| policy | class | offered | met | share | of bound | first token p50/p95 s "
    "| gap p50/p95 ms | no answer |\n|---|---|--:|--:|--:|--:|--:|--:|--:|"
)


def scene_table(scores: Sequence[Score]) -> str:
    """Return tables of all policies in one scene at one site, as Markdown."""
    lines = [f"## {scores[0].site}: {scores[0].scene}", "", _HEAD]
    for score in scores:
        lines += _class_rows(score)
    lines += [
        "",
        "| policy | met per engine and s | model loads/unloads "
        "| adapter loads/unloads | no answer, by reason |\n|---|--:|--:|--:|---|",
    ]
    lines += [_total_row(score) for score in scores]
    return "\n".join(lines) + "\n"


def _class_rows(score: Score) -> list[str]:
    rows = []
    for name, item in score.classes.items():
        first = f"{item.first_token_p50:.2f} / {item.first_token_p95:.2f}"
        gap = f"{item.token_gap_p50 * 1e3:.0f} / {item.token_gap_p95 * 1e3:.0f}"
        rows.append(
            f"| {score.policy} | {name} | {item.offered} | {item.met} "
            f"| {item.attainment:.3f} | {item.of_bound:.3f} | {first} | {gap} "
            f"| {item.unfinished} |"
        )
    return rows


def _total_row(score: Score) -> str:
    moves = score.moves
    models = f"{moves.get('load_model', 0)} / {moves.get('unload_model', 0)}"
    adapters = f"{moves.get('load_adapter', 0)} / {moves.get('unload_adapter', 0)}"
    reasons = ", ".join(f"{name} {count}" for name, count in score.reasons.items())
    return (
        f"| {score.policy} | {score.per_engine:.3f} | {models} | {adapters} "
        f"| {reasons or '-'} |"
    )


def write_report(folder: Path, scores: Sequence[Score], seed: int) -> None:
    """Write the tables of one scene at one site as Markdown and JSON.

    Args:
        folder: Folder to write to; created if missing.
        scores: Scores of all policies.
        seed: Seed of the run.
    """
    folder.mkdir(parents=True, exist_ok=True)
    text = f"# The policy under load\n\nWritten by `make measure`, seed {seed}.\n\n"
    text += EXPLANATION + "\n\n" + scene_table(scores)
    _path(folder, scores, "md").write_text(text)
    plain = [score.to_json() for score in scores]
    _path(folder, scores, "json").write_text(json.dumps(plain, indent=1) + "\n")


def _path(folder: Path, scores: Sequence[Score], suffix: str) -> Path:
    return folder / f"{scores[0].site}.{scores[0].scene}.{suffix}"


def write_plot(folder: Path, scores: Sequence[Score]) -> None:
    """Plot attainment and model loads of one scene at one site.

    Args:
        folder: Folder to write to.
        scores: Scores of all policies.
    """
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, (shares_axis, loads_axis) = plt.subplots(1, 2, figsize=(12, 3))
    names = [score.policy for score in scores]
    for offset, traffic_class in enumerate(scores[0].classes):
        places = [index + 0.27 * offset for index in range(len(names))]
        shares = [score.classes[traffic_class].attainment for score in scores]
        shares_axis.bar(places, shares, width=0.25, label=traffic_class)
    shares_axis.set_ylim(0, 1)
    shares_axis.set_title(f"{scores[0].site}: {scores[0].scene}, attainment", size=8)
    shares_axis.legend(fontsize=6)
    loads = [score.moves.get("load_model", 0) for score in scores]
    loads_axis.bar(range(len(names)), loads, color="gray")
    loads_axis.set_title("model loads", size=8)
    for axis in (shares_axis, loads_axis):
        axis.set_xticks(range(len(names)), names, size=6)
    figure.tight_layout()
    figure.savefig(_path(folder, scores, "png"), dpi=80)
    plt.close(figure)
