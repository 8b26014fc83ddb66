"""Which requests are suspected of crashing targets, and which are not."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.placement.pendingruns import (
    CLOSING_SECONDS,
    VERDICT_SECONDS,
    PendingRun,
    PendingRuns,
)
from almondglade.placement.suspects import (
    BAR_SECONDS,
    BARRED_AFTER_CRASHES,
    BARRED_AFTER_CRASHES_IF_ESTABLISHED,
    ESTABLISHED_SECONDS,
    MAX_CRASHES_PER_SUSPECT,
    MAX_SUSPECTS,
    Crash,
    SuspectTable,
    Suspicion,
)
from almondglade.platform.front import parse_caller_headers

from .placing import make_pools, record, ticket

REQUEST, OTHER = 7, 8
TARGET = ("t1", 1)
NOW = 100.0


def make_crash(number, started_at=None, ended_at=None):
    """Return a crash; those of successive numbers follow each other."""
    started_at = float(number) if started_at is None else started_at
    ended_at = started_at + 0.5 if ended_at is None else ended_at
    return Crash(f"t{number}", 1, started_at, ended_at)


def make_table(*crashes, fingerprint=REQUEST):
    table = SuspectTable()
    table.add(fingerprint, crashes, NOW)
    return table


@pytest.mark.parametrize(
    ("count", "suspicion"),
    [
        (0, Suspicion.NONE),
        (1, Suspicion.NONE),
        (2, Suspicion.ISOLATED),
        (3, Suspicion.BARRED),
        (9, Suspicion.BARRED),
    ],
)
def test_a_request_is_barred_after_successive_crashes(count, suspicion):
    table = make_table(*map(make_crash, range(count)))
    assert table.suspicion(REQUEST, NOW) is suspicion
    assert table.suspicion(OTHER, NOW) is Suspicion.NONE


# A popular request that ran on all targets of a crashed data centre was barred.
def test_concurrent_runs_on_targets_that_fail_together_count_once():
    crashes = [make_crash(number, started_at=1.0, ended_at=2.0) for number in range(9)]
    assert make_table(*crashes).suspicion(REQUEST, NOW) is Suspicion.NONE


# A request was barred although a run of it had completed elsewhere in between.
def test_a_completed_run_clears_a_request():
    table = make_table(make_crash(1), make_crash(2))
    assert table.record_completed(REQUEST, NOW)
    table.add(REQUEST, [make_crash(NOW + 1)], NOW + 2)
    assert table.suspicion(REQUEST, NOW + 2) is Suspicion.NONE


# Crashes that a peer reports late made a request suspect that had completed since.
def test_a_crash_before_a_completed_run_is_ignored_when_it_is_reported_late():
    table = SuspectTable()
    assert not table.record_completed(REQUEST, NOW)
    table.add(REQUEST, map(make_crash, range(5)), NOW + 1)
    assert table.suspicion(REQUEST, NOW + 1) is Suspicion.NONE
    assert not table.has_crashed(REQUEST)


def test_after_the_bar_one_run_is_allowed_and_a_crash_of_it_bars_again():
    table = make_table(*map(make_crash, range(3)))
    later = make_crash(2).ended_at + BAR_SECONDS
    assert table.suspicion(REQUEST, later) is Suspicion.ISOLATED
    table.add(REQUEST, [make_crash(9, started_at=later)], later + 1)
    assert table.suspicion(REQUEST, later + 1) is Suspicion.BARRED


# Many innocent requests that crashed with a data centre displaced a barred one.
def test_a_barred_request_stays_barred_among_many_suspects():
    table = make_table(*map(make_crash, range(3)))
    for fingerprint in range(1000, 1000 + 2 * MAX_SUSPECTS):
        table.add(fingerprint, [make_crash(50)], NOW + 1)
    assert len(table.by_fingerprint) <= MAX_SUSPECTS
    assert table.suspicion(REQUEST, NOW + 1) is Suspicion.BARRED


SHARED_PART, CRASHING_PART = 20, 21


def crash_all(table, numbers, *fingerprints):
    """Let runs with some fingerprints crash targets; each is a request of its own."""
    for number in numbers:
        for fingerprint in (1000 + number, *fingerprints):
            table.add(fingerprint, [make_crash(number)], NOW)


# No two requests with a crashing part were alike, so that none of them was barred.
def test_a_part_is_barred_after_successive_crashes_of_different_requests():
    table = SuspectTable()
    crash_all(table, range(3), SHARED_PART, CRASHING_PART)
    verdict = table.verdict((REQUEST, SHARED_PART, CRASHING_PART), NOW)
    assert verdict.suspicion is Suspicion.BARRED


# A part that had been in each crashing request was barred with the part that crashed.
def test_what_is_barred_explains_the_crashes_of_parts_beside_it():
    table = SuspectTable()
    crash_all(table, range(3), SHARED_PART, CRASHING_PART)
    assert table.verdict((REQUEST, SHARED_PART), NOW).suspicion is Suspicion.NONE
    table.add(OTHER, [make_crash(number) for number in range(3)], NOW)
    assert table.verdict((OTHER,), NOW).suspicion is Suspicion.NONE


def test_a_part_that_crashes_without_the_barred_one_is_barred_itself():
    table = SuspectTable()
    crash_all(table, range(3), SHARED_PART, CRASHING_PART)
    crash_all(table, range(3, 6), SHARED_PART)
    verdict = table.verdict((REQUEST, SHARED_PART), NOW)
    assert verdict.suspicion is Suspicion.BARRED


# Requests with the parts of a crashing request were refused with it.
def test_a_barred_request_does_not_bar_the_parts_of_its_prompt():
    table = SuspectTable()
    for fingerprint in (REQUEST, SHARED_PART):
        table.add(fingerprint, [make_crash(number) for number in range(3)], NOW)
    assert table.verdict((OTHER, SHARED_PART), NOW).suspicion is Suspicion.NONE
    verdict = table.verdict((REQUEST, SHARED_PART), NOW)
    assert verdict.suspicion is Suspicion.BARRED


# The last part of a prompt belongs to one request or session and crashes nothing else.
def test_the_parts_of_a_prompt_but_the_last_are_recognised():
    headers = parse_caller_headers([("X-Prompt-Prefix", "A1:60, b2:9,c3:700")])
    assert headers.prompt_parts == ("a1", "b2", "c3")
    assert parse_caller_headers([]).prompt_parts == ()


RUNS = st.tuples(st.integers(0, 60), st.integers(1, 9)).map(
    lambda run: (float(run[0]), float(sum(run)))
)


@given(
    st.lists(RUNS, max_size=MAX_CRASHES_PER_SUSPECT),
    st.lists(st.floats(0, 60), max_size=2),
    st.randoms(use_true_random=False),
)
def test_gateways_agree_in_whatever_order_evidence_arrives(runs, completions, rng):
    crashes = [make_crash(number, *run) for number, run in enumerate(runs)]
    evidence = [([crash], float("-inf")) for crash in crashes]
    evidence += [([], cleared_at) for cleared_at in completions]
    in_order, shuffled = SuspectTable(), SuspectTable()
    for each, cleared_at in evidence:
        in_order.add(REQUEST, each, NOW, cleared_at)
    # Datagrams arrive in any order and more than once.
    for each, cleared_at in rng.sample(evidence * 2, 2 * len(evidence)):
        shuffled.add(REQUEST, each, NOW, cleared_at)
    assert shuffled.suspicion(REQUEST, NOW) is in_order.suspicion(REQUEST, NOW)


@given(
    st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=40),
)
def test_a_request_is_barred_exactly_after_enough_crashes_in_a_row(runs):
    table, in_a_row, completed_at, first_at = SuspectTable(), 0, float("-inf"), 0.0
    for number, (pause, completes) in enumerate(runs):
        started_at = 10.0 * number + pause
        if completes:
            completed_at = started_at + 1
            table.record_completed(REQUEST, completed_at)
            in_a_row = 0
        else:
            table.add(REQUEST, [make_crash(number, started_at)], started_at + 1)
            first_at = first_at if in_a_row else started_at
            in_a_row += 1
        barred_after = BARRED_AFTER_CRASHES
        if first_at - completed_at <= ESTABLISHED_SECONDS:
            barred_after = BARRED_AFTER_CRASHES_IF_ESTABLISHED
        # Only the latest crashes are kept, and the first of these is the oldest known.
        if in_a_row >= MAX_CRASHES_PER_SUSPECT:
            barred_after = BARRED_AFTER_CRASHES
        is_barred = table.suspicion(REQUEST, started_at + 1) is Suspicion.BARRED
        assert is_barred == (in_a_row >= barred_after)


# A popular request was barred while the targets of a data centre ended one by one.
def test_a_request_that_has_just_completed_is_barred_only_after_more_crashes():
    for count, is_barred in ((4, False), (5, True)):
        table = SuspectTable()
        table.record_completed(REQUEST, 0.0)
        table.add(REQUEST, [make_crash(1 + number) for number in range(count)], NOW)
        suspicion = table.suspicion(REQUEST, NOW)
        assert (suspicion is Suspicion.BARRED) == is_barred


# A request of which two runs had crashed ran beside the one that crashed the targets,
# crashed with it once more and was barred too.
def test_isolated_requests_run_on_different_targets():
    pools = make_pools(record("t1"), record("t2"))
    isolated = [ticket(isolated_fingerprint=each) for each in (REQUEST, OTHER)]
    for each in isolated:
        pools.enqueue(each, 0.0)
    assert len(pools.match(0.0)) == 2
    assert {each.target for each in isolated} == {"t1", "t2"}


# Repeats of a suspect at several gateways crashed as many targets at once.
def test_an_isolated_request_does_not_run_twice_at_a_time():
    pools = make_pools(record("t1"), record("t2"))
    first, repeat, ordinary = (
        ticket(isolated_fingerprint=REQUEST),
        ticket(isolated_fingerprint=REQUEST),
        ticket(),
    )
    for each in (first, repeat, ordinary):
        pools.enqueue(each, 0.0)
    pools.match(0.0)
    assert first.target and ordinary.target and not repeat.target
    pools.end_isolation(first)
    pools.match(0.1)
    assert repeat.target


def make_pending_runs(**changes):
    runs = PendingRuns()
    runs.add(TARGET, PendingRun((REQUEST,), 1.0, 2.0, **changes))
    return runs


def test_a_broken_run_is_a_crash_once_its_target_has_ended():
    runs = make_pending_runs()
    assert runs.has_broken(REQUEST)
    assert runs.take_crashes(TARGET) == [((REQUEST,), Crash("t1", 1, 1.0, 2.0))]
    assert runs.take_crashes(TARGET) == []


# A connection that is reset on the way, or a target that drops one response, counted
# as a crash when the target ended later for another reason.
def test_a_broken_run_of_a_target_that_lives_on_is_no_crash():
    runs = make_pending_runs()
    assert not runs.take_outlived(TARGET, 1.5)
    assert runs.incarnations() == [TARGET]
    assert runs.take_outlived(TARGET, 2.5)
    assert runs.take_crashes(TARGET) == []
    runs = make_pending_runs()
    runs.expire(2.0 + VERDICT_SECONDS + 0.1)
    assert runs.take_crashes(TARGET) == []


# Each answer to a popular part was followed by a probe once a target had crashed.
def test_a_response_to_what_has_just_completed_is_proof_unless_it_crashed_twice():
    table = make_table(make_crash(1))
    assert table.may_crash_after_response((OTHER, REQUEST))
    for count, may_crash in ((1, False), (2, True)):
        table = SuspectTable()
        table.record_completed(REQUEST, 0.0)
        table.add(REQUEST, [make_crash(1 + number) for number in range(count)], NOW)
        assert table.may_crash_after_response((OTHER, REQUEST)) == may_crash


# A target that ended just after a short response was taken for one that had lived on.
def test_a_run_that_looks_complete_is_outlived_only_after_a_while():
    runs = make_pending_runs(looks_complete=True)
    assert not runs.has_broken(REQUEST)
    assert not runs.take_outlived(TARGET, 2.0 + CLOSING_SECONDS)
    assert runs.take_outlived(TARGET, 2.1 + CLOSING_SECONDS, only_complete=True)
    assert runs.take_crashes(TARGET) == []
