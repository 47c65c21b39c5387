"""The tables of runs agree with the journal."""

import msgspec

from bench.journal_tables import (
    JOURNAL,
    PAGE,
    Day,
    Entry,
    hunt_rows,
    read_journal,
    render_page,
)

RUN = Entry("a1", ["", ""], "hunt", [".../site.toml"], head="0123456789", ok=True)


def test_the_page_of_runs_agrees_with_the_journal():
    """Guards against a page that shows a hunt with broken rules as clean."""
    assert PAGE.read_text(encoding="utf-8") == render_page(read_journal(JOURNAL))


def test_a_day_with_a_broken_rule_is_counted():
    days = [Day("calm", 0.9), Day("one", 0.1, rules={"HOME": 50}), Day("two", 0.0)]
    (row,) = hunt_rows([msgspec.structs.replace(RUN, days=days)])[2:]
    assert row == "| site | 0123456 | 3 | 1 | HOME 50 | a1 |"


def test_an_unfinished_run_shows_its_error_and_no_figures():
    """Guards against figures from an entry that was written during the run."""
    unfinished = msgspec.structs.replace(RUN, ok=False, error="the run did not finish")
    (row,) = hunt_rows([unfinished])[2:]
    assert row == "| site | 0123456 | the run did not finish |  |  | a1 |"
