"""Claims on caller-supplied keys: one holder, also with concurrent claimants."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondglade.keys.claims import (
    CLAIM_VALIDITY_SECONDS,
    PAUSE_MARGIN_SECONDS,
    ClaimTable,
)
from almondglade.keys.codec import Holder
from almondglade.keys.table import ScopedKey
from almondglade.outcome import Code, Outcome, RequestError

from .keyfleet import LIST_LAG, WINDOW, Fleet

SCOPED_KEY = ScopedKey("partner-a", "own")
FIRST, SECOND, THIRD = (Holder(name, "1") for name in ("e1", "e2", "e3"))
UPTIME_SECONDS = 400.0


class Clock:
    """A clock that the test sets."""

    now = 0.0

    def __call__(self):
        """Return the time set."""
        return self.now


def make_fleet(*names):
    """Return a fleet without failures whose processes are all witnesses."""
    made = Fleet(names)
    made.on_step = lambda: None
    made.choose = lambda options: options[0]
    made.advance(UPTIME_SECONDS, 0.0)
    return made


@pytest.fixture
def fleet():
    return make_fleet("e1", "e2", "e3")


def interrupt_once(fleet, act):
    """Call a function once, at the next step of any process."""

    def on_step():
        fleet.on_step = lambda: None
        act()

    fleet.on_step = on_step


def send(fleet, name):
    return fleet.send(fleet.by_name[name], *SCOPED_KEY)


def replace(fleet, name):
    fleet.by_name[name].alive = False
    fleet.start(name)
    fleet.publish()


def test_a_used_claim_is_never_yielded():
    for first, claimant in [(SECOND, FIRST), (FIRST, SECOND)]:
        table = ClaimTable(first, Clock(), WINDOW)
        assert table.receive(SCOPED_KEY, first) == first
        assert table.mark_used(SCOPED_KEY, 0.0)
        assert table.receive(SCOPED_KEY, claimant, instead_of=THIRD) == first
        assert table.receive(SCOPED_KEY, claimant, instead_of=first) == first
        table.yield_to(SCOPED_KEY, claimant)
        assert table.receive(SCOPED_KEY, first) == first


def test_the_smaller_of_two_concurrent_claimants_wins_at_both():
    smaller, larger = (ClaimTable(own, Clock(), WINDOW) for own in (FIRST, SECOND))
    assert smaller.receive(SCOPED_KEY, FIRST) == FIRST
    assert larger.receive(SCOPED_KEY, SECOND) == SECOND
    assert smaller.receive(SCOPED_KEY, SECOND) == FIRST
    assert larger.receive(SCOPED_KEY, FIRST) == FIRST
    assert not larger.mark_used(SCOPED_KEY, 0.0)
    assert smaller.mark_used(SCOPED_KEY, 0.0)


def test_an_outdated_claim_cannot_be_used():
    clock = Clock()
    table = ClaimTable(FIRST, clock, WINDOW)
    table.receive(SCOPED_KEY, FIRST)
    clock.now = CLAIM_VALIDITY_SECONDS + 1
    assert not table.mark_used(SCOPED_KEY, 0.0)


@given(st.lists(st.tuples(st.floats(0, 50), st.integers(0, 5)), max_size=60))
def test_claims_are_retained_for_the_window_and_a_full_table_refuses_more(steps):
    clock = Clock()
    table = ClaimTable(FIRST, clock, WINDOW, max_claims=3)
    renewed_at: dict = {}
    for seconds, number in steps:
        clock.now += seconds
        scoped_key = ScopedKey("partner-a", str(number))
        holder = table.receive(scoped_key, SECOND)
        assert len(table.by_scoped_key) <= 3
        if holder == SECOND:
            renewed_at[scoped_key] = clock.now
        for known, at in renewed_at.items():
            if clock.now - at <= WINDOW + PAUSE_MARGIN_SECONDS:
                assert table.receive(known, THIRD) == SECOND


def test_a_resend_through_any_instance_replays_the_first_response(fleet):
    assert not dict(send(fleet, "e2").head.headers).get("Idempotency-Replayed")
    for name in ("e1", "e2", "e3"):
        assert dict(send(fleet, name).head.headers)["Idempotency-Replayed"] == "true"


def test_claims_at_the_same_time_end_in_one_run(fleet):
    for order in (("e1", "e2"), ("e2", "e1"), ("e3", "e1")):
        scoped_key = ScopedKey("partner-b", "-".join(order))
        first, second = (fleet.by_name[name] for name in order)
        interrupt_once(fleet, lambda n=second, s=scoped_key: fleet.send(n, *s))
        for node in (first, second, first):
            fleet.send(node, *scoped_key)
        assert fleet.runs[scoped_key] == 1


def test_one_surviving_record_prevents_a_second_run(fleet):
    send(fleet, "e2")
    for name in ("e2", "e3"):
        replace(fleet, name)
    fleet.advance(30.0, 0.0)
    for name in ("e1", "e2", "e3"):
        assert send(fleet, name).code is Code.KEY_VOID


def test_a_smaller_instance_started_later_does_not_win_a_used_key(fleet):
    send(fleet, "e2")
    replace(fleet, "e1")
    fleet.advance(30.0, 0.0)
    for _ in range(3):
        assert dict(send(fleet, "e1").head.headers)["Idempotency-Replayed"] == "true"


def test_a_fully_replaced_fleet_accepts_no_caller_supplied_key_within_the_window(fleet):
    send(fleet, "e1")
    for name in ("e1", "e2", "e3"):
        replace(fleet, name)
    fleet.advance(WINDOW - 1, 0.0)
    error = send(fleet, "e2")
    assert (error.code, error.outcome) == (Code.KEY_UNSETTLED, Outcome.UNKNOWN)
    assert error.retry_after >= LIST_LAG
    fleet.advance(error.retry_after, 0.0)
    assert send(fleet, "e2").head.status == 200


def test_a_process_resumed_with_an_old_list_wins_no_claim():
    fleet = make_fleet("e1")
    old = fleet.by_name["e1"]
    old.frozen_at = fleet.now
    for name in ("e2", "e3"):
        fleet.start(name)
    fleet.publish()
    fleet.advance(UPTIME_SECONDS, 0.0)
    fleet.wake(old)
    assert send(fleet, "e1").code is Code.KEY_UNSETTLED
    assert not fleet.runs[SCOPED_KEY]


def test_a_process_unlisted_while_paused_is_no_witness():
    fleet = make_fleet("e1", "e2")
    paused = fleet.by_name["e1"]
    paused.frozen_at = fleet.now
    fleet.advance(60.0, 0.0)
    fleet.publish()
    fleet.advance(30.0, 0.0)
    assert send(fleet, "e2").head.status == 200
    replace(fleet, "e2")
    fleet.wake(paused)
    fleet.publish()
    fleet.by_name["e2"].read_list(0.0)
    error = send(fleet, "e2")
    assert isinstance(error, RequestError) and error.code is Code.KEY_UNSETTLED


def test_no_claim_is_won_while_a_process_cannot_read_the_list():
    fleet = make_fleet("e1")
    fleet.by_name["e1"].list_unreachable = True
    fleet.start("e2")
    fleet.publish()
    fleet.advance(UPTIME_SECONDS, 0.0)
    assert send(fleet, "e1").code is Code.KEY_UNSETTLED
    assert send(fleet, "e2").code is Code.KEY_UNSETTLED


def test_an_instance_known_only_to_a_peer_must_vote_too():
    fleet = make_fleet("e1", "e2")
    fleet.start("e3")
    fleet.publish()
    fleet.by_name["e2"].read_list(0.0)
    assert "not yet known here: e3" in send(fleet, "e1").message


def test_an_instance_missing_from_a_lagging_list_is_not_yet_a_witness():
    fleet = make_fleet("e1")
    fleet.start("e2")
    fleet.publish()
    fleet.by_name["e2"].read_list(0.0)
    fleet.now += LIST_LAG - 5
    fleet.by_name["e1"].read_list(LIST_LAG)
    assert send(fleet, "e1").head.status == 200
    fleet.by_name["e1"].alive = False
    fleet.publish()
    fleet.advance(WINDOW - 5, 0.0)
    assert send(fleet, "e2").code is Code.KEY_UNSETTLED


def test_a_replaced_process_still_running_runs_no_key_used_by_others():
    fleet = make_fleet("e1", "e2")
    replaced = fleet.by_name["e2"]
    fleet.start("e2")
    fleet.publish()
    send(fleet, "e1")
    fleet.start("e1")
    fleet.publish()
    assert fleet.send(replaced, *SCOPED_KEY).code is Code.KEY_UNSETTLED
