"""Tables of hunts and scores, made from the entries in ``journal/``.

    .venv/bin/python -m bench.journal_tables [--write]

Prints docs/RUNS.md; ``--write`` writes it. What an entry does not show is not in a
table: a run that has not finished when its entry was committed is said to be that.
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
# The first run of the code whose pages were compared with their entries.
SINCE = "20261203T114900"
COMMIT_LENGTH = 7
TROUBLE = ("trouble", "scale")

HEAD = """\
# Runs

Hunts and scores as `journal/` has them, oldest first: made by
`.venv/bin/python -m bench.journal_tables --write`, and a test compares this page with
the journal. No figure is written by hand. "Code" is the commit that was checked out; a
star says that sources differed from it.
"""


class Day(msgspec.Struct):
    """One day of a run; ``G`` is its worth."""

    name: str
    G: float
    kind: str = ""
    rules: dict[str, int] = {}
    fault: str | None = None
    gate: bool = True


class Entry(msgspec.Struct):
    """One run as it was noted."""

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
        """The deployment, by its file."""
        return PurePosixPath(self.argv[0]).stem

    @property
    def code(self) -> str:
        """The commit, with a star where sources differed."""
        return self.head[:COMMIT_LENGTH] + "*" * self.dirty


def read_journal(folder: Path, since: str = SINCE) -> list[Entry]:
    """Return the entries of runs from a moment on, oldest first."""
    paths = sorted(p for p in folder.glob("*.json") if p.name >= since)
    return [msgspec.json.decode(path.read_bytes(), type=Entry) for path in paths]


def hunts(entries: Iterable[Entry]) -> list[str]:
    """Return the rows of the table of hunts."""
    rows = [
        "| site | code | days | with a rule broken | rules | entry |",
        "|" + " --- |" * 6,
    ]
    for entry in entries:
        if entry.cmd != "hunt":
            continue
        broken = [day for day in entry.days if day.rules or day.fault]
        found: Counter[str] = Counter()
        for day in broken:
            found.update(day.rules)
            found.update(["fault"] if day.fault else [])
        rules = ", ".join(f"{name} {count}" for name, count in sorted(found.items()))
        shown = [str(len(entry.days)), str(len(broken)), rules]
        rows.append(_row(entry, shown if entry.ok else [_unshown(entry), "", ""]))
    return rows


def scores(entries: Iterable[Entry]) -> list[str]:
    """Return the rows of the table of scores."""
    rows = [
        "| site | code | mean, days with trouble | worth of each day | gate | entry |",
        "|" + " --- |" * 6,
    ]
    for entry in entries:
        if entry.cmd != "score":
            continue
        standard = [day for day in entry.days if not day.name.startswith("fresh")]
        trouble = [day.G for day in standard if day.name.startswith(TROUBLE)]
        if not entry.ok or not trouble or all(day.fault for day in standard):
            rows.append(_row(entry, [_unshown(entry), "", ""]))
            continue
        mean = sum(trouble) / len(trouble)
        each = ", ".join(f"{day.name} {day.G:.3f}" for day in standard)
        failed = [day.name for day in entry.days if not day.gate]
        gate = "failed: " + ", ".join(failed) if failed else "passed"
        rows.append(_row(entry, [f"{mean:.3f}", each, gate]))
    return rows


def page(entries: list[Entry]) -> str:
    """Return the whole page."""
    parts = [HEAD, "## Hunts\n", *hunts(entries), "\n## Scores\n", *scores(entries)]
    return "\n".join(parts) + "\n"


def _row(entry: Entry, cells: list[str]) -> str:
    return "| " + " | ".join([entry.site, entry.code, *cells, entry.id]) + " |"


def _unshown(entry: Entry) -> str:
    faults = {day.fault or "" for day in entry.days}
    return entry.error or (
        f"fault: {faults.pop()}" if len(faults) == 1 else "not shown"
    )


def main() -> int:
    """Print or write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    made = page(read_journal(JOURNAL))
    if parser.parse_args().write:
        PAGE.write_text(made, encoding="utf-8")
    else:
        sys.stdout.write(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
