"""Gateways that lose their links to all targets, and what the others make of it."""

import time

import pytest

from soak.links import CUT_MODES, MUTE

from .cutfleet import (
    CONTACT_SECONDS,
    MAX_FAILED_REQUESTS,
    MAX_FAILED_SHARE,
    MIN_SERVED_SHARE,
    CutFleet,
)

CUT_SECONDS = 8.0
# Time after the links are back until all gateways serve again.
RECOVERY_SECONDS = 3.0
MIN_SERVED_ELSEWHERE = 0.95
KINDS = ("book", "look", "stream", "once")


@pytest.fixture(
    scope="module",
    params=[*((mode, 3) for mode in (*CUT_MODES, MUTE)), ("hang", 4)],
    ids=[*CUT_MODES, MUTE, "hang at most gateways"],
)
def fleet_and_times(request, tmp_path_factory):
    """A fleet of which some gateways were cut off from all targets for a while."""
    mode, cut_count = request.param
    folder = tmp_path_factory.mktemp("fleet")
    with CutFleet(folder, 5, cut_count=cut_count, paths=KINDS) as fleet:
        fleet.send_requests()
        time.sleep(2.0)
        fleet.cut_links(mode)
        cut_at = time.monotonic()
        time.sleep(CUT_SECONDS)
        fleet.heal_links()
        healed_at = time.monotonic()
        time.sleep(RECOVERY_SECONDS + 2.0)
        ended_at = time.monotonic()
    return fleet, cut_at, healed_at, ended_at


# Without links to targets, a gateway had no other way for its callers' requests.
@pytest.mark.parametrize("kind", KINDS)
def test_gateways_without_links_serve_through_others(fleet_and_times, kind):
    fleet, cut_at, healed_at, _ = fleet_and_times
    since = cut_at + CONTACT_SECONDS
    others = set(fleet.addresses) - set(fleet.cut_addresses)
    sent, served = fleet.count_served(kind, fleet.cut_addresses, since, healed_at)
    sent_elsewhere, served_elsewhere = fleet.count_served(
        kind, others, since, healed_at
    )
    is_as_good = served / sent >= MIN_SERVED_SHARE * served_elsewhere / sent_elsewhere
    failed = sent - served
    allowed = MAX_FAILED_REQUESTS + MAX_FAILED_SHARE * (sent + sent_elsewhere)
    assert is_as_good or failed <= allowed
    assert is_as_good, (sent, served, sent_elsewhere, served_elsewhere)


# Two gateways that paused a target took it from all others.
@pytest.mark.parametrize("kind", KINDS)
def test_lost_links_of_some_gateways_do_not_count_against_targets(
    fleet_and_times, kind
):
    fleet, cut_at, healed_at, _ = fleet_and_times
    others = set(fleet.addresses) - set(fleet.cut_addresses)
    sent, served = fleet.count_served(kind, others, cut_at, healed_at)
    assert served >= MIN_SERVED_ELSEWHERE * sent


@pytest.mark.parametrize("kind", KINDS)
def test_all_gateways_serve_again_once_the_links_are_back(fleet_and_times, kind):
    fleet, _, healed_at, ended_at = fleet_and_times
    since = healed_at + RECOVERY_SECONDS
    sent, served = fleet.count_served(kind, fleet.addresses, since, ended_at - 0.5)
    assert served >= MIN_SERVED_ELSEWHERE * sent


def test_no_request_runs_twice_or_after_a_refusal(fleet_and_times):
    fleet, *_ = fleet_and_times
    runs = fleet.runs_by_request()
    once = ("book-", "once-")
    assert not [name for name in runs if name.startswith(once) and runs[name] > 1]
    refused = {r.request_id for r in fleet.results if r.status == 503}
    assert not [name for name in refused & runs.keys() if name.startswith(once)]


# Runs that broke with the links were taken for crashes, and their requests isolated.
def test_lost_links_are_not_taken_for_crashes_of_targets(fleet_and_times):
    fleet, *_ = fleet_and_times
    logs = [fleet.log(address) for address in fleet.addresses]
    for event in ("target ended while it ran requests", "it may crash targets"):
        assert [log.count(event) for log in logs] == [0] * len(logs)
