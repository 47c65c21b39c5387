"""Which engine reads a prompt."""

from dataclasses import replace
from random import Random

from amaranthtally.policy import (
    AffinityRouter,
    Arrival,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    Pipeline,
    Planner,
    PlannerComponents,
    PolicySettings,
    Send,
    Stage,
)

CLUJ, IASI = "cluj-a", "iasi-a"
ENGINES = {
    f"engine-{place}-{n}": Endpoint(
        f"engine-{place}-{n}", "engines", "h", place, place, "10.0.0.1:1", slots=128
    )
    for place in (CLUJ, IASI)
    for n in range(3)
}
GENERATE = Stage("generate", "engines", streams=True, hedges=False)
PIPELINE = Pipeline("claim", (GENERATE,), 8.0)


def planner(seed=1, place=CLUJ, engines=ENGINES):
    settings = PolicySettings(1, place, place, engines)
    return Planner(settings, Random(seed), PlannerComponents(router=AffinityRouter))


def arrival(request_id, prompt):
    """Return a request whose prompt has these parts and tokens."""
    return Arrival(
        request_id,
        "account",
        PIPELINE,
        100.0,
        prefix=tuple(part for part, _ in prompt),
        prefix_sizes=tuple(tokens for _, tokens in prompt),
    )


def engine_of(actions):
    (send,) = [action for action in actions if isinstance(action, Send)]
    return send.endpoint


def session(number, own):
    """Return a long prompt of a session, as on the users' sheet."""
    return ((1, 2520), (100 + number, 3780), (9000 + own, 2890))


def test_entries_send_one_session_to_one_engine_though_they_never_met():
    """
    Every region reads the same 6,300 shared tokens. Entries know nothing of each
    other's requests, and each sent the session to an engine of its own region.
    """
    for number in range(5):
        chosen = {
            engine_of(
                planner(seed, place).request_arrived(
                    1.0, arrival("r", session(number, seed))
                )
            )
            for seed, place in ((1, CLUJ), (2, IASI), (3, CLUJ))
        }
        assert len(chosen) == 1


def test_sessions_spread_over_the_engines():
    found = planner()
    chosen = set()
    for number in range(30):
        actions = found.request_arrived(1.0, arrival(f"r{number}", session(number, 1)))
        chosen.add(engine_of(actions))
    assert len(chosen) == len(ENGINES)


def test_a_little_load_does_not_move_a_session():
    """
    A third of all shared tokens is read twice. Each other request at its engine sent
    a session to the next one, which had to read its parts first.
    """
    found = planner()
    alone = engine_of(planner().request_arrived(1.0, arrival("r", session(1, 1))))
    for number in range(2, 8):
        found.request_arrived(1.0, arrival(f"r{number}", session(number, number)))
    for number in range(2, 8):
        found.progress(1.3, AttemptId(f"r{number}", 0, 1), 1)
    again = found.request_arrived(1.3, arrival("r", session(1, 1)))
    assert engine_of(again) == alone


def test_a_session_whose_engine_is_busy_reading_goes_elsewhere():
    """
    One session gets a third of the traffic. Its engine reads one prompt after the
    other, and a request behind eight of them waits for two seconds.
    """
    found = planner()
    chosen = [
        engine_of(found.request_arrived(1.0, arrival(f"r{n}", session(1, n))))
        for n in range(12)
    ]
    assert len(set(chosen)) > 2


def test_a_short_prompt_crosses_no_region():
    for number in range(10):
        prompt = ((1, 100), (200 + number, 70), (number, 540))
        actions = planner().request_arrived(1.0, arrival("r", prompt))
        assert engine_of(actions).startswith("engine-cluj")


def test_the_engine_that_has_read_a_part_is_remembered():
    found = planner()
    (send,) = found.request_arrived(1.0, arrival("first", session(1, 1)))
    found.reply(1.5, send.attempt, AttemptResult(AttemptOutcome.FINISHED, run_s=0.5))
    others = {k: v for k, v in ENGINES.items() if k != send.endpoint}
    moved = replace(ENGINES[send.endpoint])
    found.settings_changed(
        2.0, PolicySettings(2, CLUJ, CLUJ, {**others, moved.id: moved})
    )
    again = found.request_arrived(2.0, arrival("second", session(1, 2)))
    assert engine_of(again) == send.endpoint


def test_where_a_prompt_will_be_read_is_known_before_its_pieces_are_made():
    engines = {k: v for k, v in ENGINES.items() if v.region == IASI}
    router = planner(engines=engines)._router
    assert router.predicted_data_centre(1.0, arrival("r", session(1, 1))) == IASI
