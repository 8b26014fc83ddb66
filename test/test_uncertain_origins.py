"""Streams that begin at targets which have started again without being listed."""

from dataclasses import replace

import pytest

from almondglade.errors import PlatformError
from almondglade.feed import Batch, TargetUpdate
from almondglade.gateway.origincheck import MAX_LISTING_SECONDS, OriginCheck
from almondglade.gateway.registry import Registry
from almondglade.gateway.targethistory import CLOCK_STEP_SECONDS
from almondglade.placement.origins import StreamOrigin

from .storefleet import StoreFleet
from .test_gateway_path import parse_headers
from .test_rejoined_streams import ENGINE, RememberingTarget, record
from .test_stream_versions import (
    ADDRESSES,
    begin_stream,
    start_fleet,
)

OLD = StreamOrigin("plain", "v1")
REPORT_SECONDS = 1.2
NOW = 1000.0
# Long enough ago that clocks do not matter.
AGE = 2 * CLOCK_STEP_SECONDS


def continued(target):
    """Return the ids of the streams that a target went on with."""
    return [
        headers["x-request-id"]
        for request in target.seen
        for headers in (parse_headers(request),)
        if "last-event-id" in headers
    ]


# The listed version was taken for that of the target, which had started again; what it
# had begun went on at the former version, in one answer or when callers took it up.
def test_a_stream_of_a_target_that_started_again_unlisted_goes_on_at_no_other_version(
    tmp_path,
):
    with (
        RememberingTarget("v1.1") as upgraded,
        RememberingTarget("v1.1") as other,
        StoreFleet(tmp_path, bounds={"revokeFailClosed": False}) as fleet,
    ):
        start_fleet(fleet, [upgraded, other], max_attempts=2, terms=ENGINE)
        fleet.turn_away(ADDRESSES[0])
        upgraded.start_again("v1.2")
        upgraded.seen.clear()
        numbers = range(8)
        for number in numbers:
            begin_stream_or_read_it(fleet, [upgraded, other], f"r{number}")
        began_here = {
            parse_headers(request)["x-request-id"]
            for request in upgraded.seen
            if request.startswith(b"POST")
        }
        assert began_here
        for request in began_here:
            fleet.call(
                "/stream/1",
                method="POST",
                X_Request_Id=f"{request}-again",
                Last_Event_Id="2",
                Resumes=request,
            )
        taken_up = {f"{request}-again" for request in began_here}
        assert not (began_here | taken_up) & set(continued(other))


def begin_stream_or_read_it(fleet, targets, request_id):
    """Begin a stream that breaks off, unless it goes on at another target."""
    try:
        begin_stream(fleet, targets, ADDRESSES[0], request_id)
    except pytest.fail.Exception:
        return


def make_check(listed_at=NOW, answering_since=0.0, listed=None, starts=()):
    """Return the check of a gateway that knows a target, and its registry.

    Parameters
    ----------
    listed : list of TargetRecord or None
        What the store lists now; None if it does not answer.
    starts : dict of str to int
        What targets say of their start; others do not tell.
    """
    registry = Registry(lambda: NOW)
    target = replace(record("t1", "v1"), started_at=1000)
    registry.apply_batch(Batch((TargetUpdate(1, "t1", target),), 1, True, 0.0))

    def read_listed():
        if listed is None:
            raise PlatformError("down")
        return listed

    def read_start(target):
        if target.id not in starts:
            raise PlatformError("silent")
        return dict(starts)[target.id]

    check = OriginCheck(
        registry,
        lambda: listed_at,
        lambda: answering_since,
        read_listed,
        lambda service: True,
        read_start,
        REPORT_SECONDS,
        lambda: NOW,
        lambda: NOW,
    )
    return check, target, registry


def verdicts(check, target, age=AGE):
    """Return the verdicts on a stream of this gateway and on one of a peer."""
    return check.is_certain_start(target, age), check.is_certain_origin(OLD, age)


def test_a_list_that_is_newer_than_a_stream_tells_who_began_it():
    assert verdicts(*make_check(NOW - AGE)[:2]) == (True, True)
    assert verdicts(*make_check(NOW - AGE - 1.0)[:2]) == (False, False)


def test_a_list_read_soon_after_the_return_of_the_store_tells_nothing():
    since = NOW - REPORT_SECONDS + 0.1
    assert verdicts(*make_check(answering_since=since)[:2]) == (False, False)
    assert verdicts(*make_check(answering_since=NOW - REPORT_SECONDS)[:2]) == (
        True,
        True,
    )


@pytest.mark.parametrize(
    ("start", "expected"),
    [(1000, True), (int(1000 * (NOW - AGE)), False), (int(1000 * NOW), True)],
)
def test_targets_tell_their_start_while_the_store_does_not_answer(start, expected):
    check, target, _ = make_check(0.0, starts={"t1": start})
    assert verdicts(check, target) == (expected, expected)


@pytest.mark.parametrize(
    ("start", "expected"),
    [(1000, True), (int(1000 * (NOW - AGE)), False), (int(1000 * NOW), True)],
)
def test_the_store_is_read_for_a_target_that_does_not_tell_its_start(start, expected):
    listed = [replace(record("t1", "v1"), started_at=start)]
    check, target, _ = make_check(0.0, listed=listed)
    assert verdicts(check, target) == (expected, expected)


def test_a_start_that_was_learned_late_makes_the_streams_of_its_service_doubtful():
    check, target, registry = make_check(answering_since=NOW - AGE)
    started = replace(record("t1", "v2"), started_at=int(1000 * (NOW - AGE)))
    registry.apply_batch(Batch((TargetUpdate(2, "t1", started),), 2, False, NOW))
    assert verdicts(check, target) == (False, False)
    assert check.is_certain_origin(StreamOrigin("other", "v1"), AGE)
    assert check.is_certain_origin(OLD, 0.0) is False
    assert check.is_doubtful_origin(OLD, AGE)
    assert not check.is_doubtful_origin(StreamOrigin("other", "v1"), AGE)


# Streams that a target had begun soon before it ended did not go on once it was back.
@pytest.mark.parametrize(
    ("age", "expected"),
    [(MAX_LISTING_SECONDS - 0.1, False), (MAX_LISTING_SECONDS + 0.1, True)],
)
def test_a_store_that_has_answered_lists_a_start_in_time(age, expected):
    check, target, registry = make_check()
    started = replace(record("t1", "v2"), started_at=int(1000 * NOW))
    registry.apply_batch(Batch((TargetUpdate(2, "t1", started),), 2, False, NOW))
    assert verdicts(check, target, age) == (expected, expected)


def test_targets_that_do_not_tell_their_start_are_believed():
    check, _, _ = make_check(0.0)
    assert check.is_certain_start(record("t1", "v1"), AGE)


def test_what_was_told_before_a_stream_began_proves_nothing():
    check, target, _ = make_check(0.0, starts={"t1": 1000})
    asked = []
    check.read_start = lambda target: asked.append(target.id) or 1000
    now = NOW
    check.clock = lambda: now
    for seconds, age in ((0.0, 1.0), (0.1, 1.0), (0.1, 0.05)):
        now += seconds
        assert check.is_certain_start(target, age)
    assert len(asked) == 2
