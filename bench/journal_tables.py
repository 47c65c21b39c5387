"""Builds docs/RUNS.md: tables of hunts and scores from the entries in ``journal/``.

    .venv/bin/python -m bench.journal_tables [--write]

Prints the page; with ``--write``, writes the file. The tables hold only what the
entries show: for a run that had not finished when its entry was committed, they give
its error instead of figures.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path, PurePosixPath

import msgspec

ROOT = Path(__file__).parent.parent
JOURNAL = ROOT / "journal"
PAGE = ROOT / "docs" / "RUNS.md"
# Entries are listed from here: the first run of code whose pages were compared with
# their entries.
FIRST_ENTRY = "20261203T114900"
COMMIT_LENGTH = 7
TROUBLE_PREFIXES = ("trouble", "scale")

PAGE_HEAD = """\
# Runs

Hunts and scores as `journal/` has them, oldest first: made by
`.venv/bin/python -m bench.journal_tables --write`, and a test compares this page with
the journal. No figure is written by hand. "Code" is the commit that was checked out; a
star says that sources differed from it.
"""


class Day(msgspec.Struct):
    """One simulated day of a run; ``G`` is its score."""

    name: str
    G: float
    kind: str = ""
    rules: dict[str, int] = {}
    fault: str | None = None
    gate: bool = True


class Entry(msgspec.Struct):
    """The journal entry of one run."""

    id: str
    at: list[str]
    cmd: str
    argv: list[str]
    why: str = ""
    head: str = ""
    dirty: bool = False
    ok: bool = False
    error: str | None = None
    days: list[Day] = []

    @property
    def site(self) -> str:
        """Name of the deployment: the stem of its file."""
        return PurePosixPath(self.argv[0]).stem

    @property
    def code(self) -> str:
        """The short commit, with a star when the sources differed from it."""
        return self.head[:COMMIT_LENGTH] + "*" * self.dirty


def read_journal(folder: Path, since: str = FIRST_ENTRY) -> list[Entry]:
    """Return the entries named ``since`` or later, oldest first."""
    paths = sorted(p for p in folder.glob("*.json") if p.name >= since)
    return [msgspec.json.decode(path.read_bytes(), type=Entry) for path in paths]


def hunt_rows(entries: Iterable[Entry]) -> list[str]:
    """Return the Markdown rows of the table of hunts."""
    rows = [
        "| site | code | days | with a rule broken | rules | entry |",
        "|" + " --- |" * 6,
    ]
    for entry in entries:
        if entry.cmd != "hunt":
            continue
        broken = [day for day in entry.days if day.rules or day.fault]
        broken_rules: Counter[str] = Counter()
        for day in broken:
            broken_rules.update(day.rules)
            broken_rules.update(["fault"] if day.fault else [])
        rules = ", ".join(
            f"{name} {count}" for name, count in sorted(broken_rules.items())
        )
        cells = [str(len(entry.days)), str(len(broken)), rules]
        rows.append(
            _row(entry, cells if entry.ok else [_reason_without_figures(entry), "", ""])
        )
    return rows


def score_rows(entries: Iterable[Entry]) -> list[str]:
    """Return the Markdown rows of the table of scores."""
    rows = [
        "| site | code | mean, days with trouble | worth of each day | gate | entry |",
        "|" + " --- |" * 6,
    ]
    for entry in entries:
        if entry.cmd != "score":
            continue
        standard = [day for day in entry.days if not day.name.startswith("fresh")]
        trouble = [day.G for day in standard if day.name.startswith(TROUBLE_PREFIXES)]
        if not entry.ok or not trouble or all(day.fault for day in standard):
            rows.append(_row(entry, [_reason_without_figures(entry), "", ""]))
            continue
        mean = sum(trouble) / len(trouble)
        day_scores = ", ".join(f"{day.name} {day.G:.3f}" for day in standard)
        failed = [day.name for day in entry.days if not day.gate]
        gate = "failed: " + ", ".join(failed) if failed else "passed"
        rows.append(_row(entry, [f"{mean:.3f}", day_scores, gate]))
    return rows


def render_page(entries: list[Entry]) -> str:
    """Return the text of the page."""
    parts = [
        PAGE_HEAD,
        "## Hunts\n",
        *hunt_rows(entries),
        "\n## Scores\n",
        *score_rows(entries),
    ]
    return "\n".join(parts) + "\n"


def _row(entry: Entry, cells: list[str]) -> str:
    return "| " + " | ".join([entry.site, entry.code, *cells, entry.id]) + " |"


def _reason_without_figures(entry: Entry) -> str:
    faults = {day.fault or "" for day in entry.days}
    return entry.error or (
        f"fault: {faults.pop()}" if len(faults) == 1 else "not shown"
    )


def main() -> int:
    """Print or write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    text = render_page(read_journal(JOURNAL))
    if parser.parse_args().write:
        PAGE.write_text(text, encoding="utf-8")
    else:
        sys.stdout.write(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
