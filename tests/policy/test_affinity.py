"""The choice of the engine that prefills a prompt."""

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
    f"engine-{region}-{n}": Endpoint(
        f"engine-{region}-{n}", "engines", "h", region, region, "10.0.0.1:1", slots=128
    )
    for region in (CLUJ, IASI)
    for n in range(3)
}
GENERATE = Stage("generate", "engines", streams=True, hedges=False)
PIPELINE = Pipeline("claim", (GENERATE,), 8.0)


def planner(seed=1, region=CLUJ, engines=ENGINES):
    settings = PolicySettings(1, region, region, engines)
    return Planner(settings, Random(seed), PlannerComponents(router=AffinityRouter))


def arrival(request_id, prompt):
    """Return a request whose prompt consists of pairs of a part and its tokens."""
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


def session(number, request_part):
    """Return a long prompt of a session, sized as in the users' data sheet."""
    return ((1, 2520), (100 + number, 3780), (9000 + request_part, 2890))


def test_entries_send_a_session_to_the_same_engine_without_communicating():
    """
    Entries do not know of each other's requests. When each sent a session to an engine
    of its own region, every region prefilled the same 6,300 shared tokens.
    """
    for number in range(5):
        chosen = {
            engine_of(
                planner(seed, region).request_arrived(
                    1.0, arrival("r", session(number, seed))
                )
            )
            for seed, region in ((1, CLUJ), (2, IASI), (3, CLUJ))
        }
        assert len(chosen) == 1


def test_sessions_spread_over_the_engines():
    entry = planner()
    chosen = set()
    for number in range(30):
        actions = entry.request_arrived(1.0, arrival(f"r{number}", session(number, 1)))
        chosen.add(engine_of(actions))
    assert len(chosen) == len(ENGINES)


def test_a_little_load_does_not_move_a_session():
    """
    When any other request at its engine sent a session to the next engine, which had
    to prefill the shared parts first, a third of all shared tokens was prefilled twice.
    """
    entry = planner()
    without_load = engine_of(
        planner().request_arrived(1.0, arrival("r", session(1, 1)))
    )
    for number in range(2, 8):
        entry.request_arrived(1.0, arrival(f"r{number}", session(number, number)))
    for number in range(2, 8):
        entry.progress(1.3, AttemptId(f"r{number}", 0, 1), 1)
    with_load = entry.request_arrived(1.3, arrival("r", session(1, 1)))
    assert engine_of(with_load) == without_load


def test_a_session_is_spread_while_its_engine_is_busy_prefilling():
    """
    An engine prefills one prompt after another. When one session has a third of the
    traffic, a request behind eight others at its engine would wait for two seconds.
    """
    entry = planner()
    chosen = [
        engine_of(entry.request_arrived(1.0, arrival(f"r{n}", session(1, n))))
        for n in range(12)
    ]
    assert len(set(chosen)) > 2


def test_a_short_prompt_stays_in_its_region():
    for number in range(10):
        prompt = ((1, 100), (200 + number, 70), (number, 540))
        actions = planner().request_arrived(1.0, arrival("r", prompt))
        assert engine_of(actions).startswith("engine-cluj")


def test_the_engine_that_has_prefilled_a_part_is_chosen_again():
    entry = planner()
    (send,) = entry.request_arrived(1.0, arrival("first", session(1, 1)))
    entry.reply(1.5, send.attempt, AttemptResult(AttemptOutcome.FINISHED, run_s=0.5))
    others = {k: v for k, v in ENGINES.items() if k != send.endpoint}
    copy = replace(ENGINES[send.endpoint])
    entry.settings_changed(
        2.0, PolicySettings(2, CLUJ, CLUJ, {**others, copy.id: copy})
    )
    second = entry.request_arrived(2.0, arrival("second", session(1, 2)))
    assert engine_of(second) == send.endpoint


def test_the_data_centre_of_the_engine_is_predicted_before_the_pieces_are_computed():
    engines = {k: v for k, v in ENGINES.items() if v.region == IASI}
    router = planner(engines=engines)._router
    assert router.predicted_data_centre(1.0, arrival("r", session(1, 1))) == IASI
