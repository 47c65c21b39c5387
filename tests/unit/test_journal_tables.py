"""Tables of runs say what the journal says."""

import msgspec

from bench.journal_tables import JOURNAL, PAGE, Day, Entry, hunts, page, read_journal

RUN = Entry("a1", ["", ""], "hunt", [".../site.toml"], head="0123456789", ok=True)


def test_the_page_of_runs_is_what_the_journal_shows():
    """Guards against a page that gives a hunt as clean whose days broke rules."""
    assert PAGE.read_text(encoding="utf-8") == page(read_journal(JOURNAL))


def test_a_day_with_a_broken_rule_is_counted():
    days = [Day("calm", 0.9), Day("one", 0.1, rules={"HOME": 50}), Day("two", 0.0)]
    (row,) = hunts([msgspec.structs.replace(RUN, days=days)])[2:]
    assert row == "| site | 0123456 | 3 | 1 | HOME 50 | a1 |"


def test_a_run_that_did_not_finish_shows_nothing():
    """Guards against a row that rests on an entry written while the run went on."""
    open_run = msgspec.structs.replace(RUN, ok=False, error="the run did not finish")
    (row,) = hunts([open_run])[2:]
    assert row == "| site | 0123456 | the run did not finish |  |  | a1 |"
