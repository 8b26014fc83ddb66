"""Streams that callers take up again after all gateways were lost at once."""

import contextlib
import itertools
import math
import time
from dataclasses import replace
from types import SimpleNamespace

import orjson
import pytest

from almondglade.catalogue import TargetRecord
from almondglade.dispatch.call import NotSentError
from almondglade.errors import PlatformError
from almondglade.feed import Batch, TargetUpdate
from almondglade.gateway.originsearch import (
    MAX_ASKED_TARGETS,
    OriginSearch,
    oldest_age,
)
from almondglade.gateway.registry import Registry
from almondglade.gateway.targethistory import TargetHistory
from almondglade.gateway.targetstarts import (
    MAX_LIST_AGE_SECONDS,
    VALIDITY_SECONDS,
    TargetStarts,
)
from almondglade.placement.formerstarts import (
    LEAVING_NOTICE_SECONDS,
    MIN_INTERVAL_SHARE,
    YOUNG_REPORTS,
    FormerStart,
    StartHistory,
    find_former_starts,
)
from almondglade.placement.origins import StreamOrigin, infer_origin
from almondglade.platform.connection import HistoryLostError
from almondglade.platform.engines import EngineClient
from almondglade.platform.front import parse_caller_headers

from .gatewayfleet import GatewayFleet, make_response
from .storefleet import StoreFleet
from .support.targets import FakeTarget
from .test_gateway_path import parse_headers
from .test_stream_versions import (
    ADDRESSES,
    FIRST_IDS,
    VersionedTarget,
    begin_stream,
    call_until_run,
    start_fleet,
    wait_until_listed,
    wrong_version_runs,
)

STREAMS = 8
OWN_TOKENS = 250
ENGINE = {"engine": {"stride": 1}}


def unix_ms():
    return time.time_ns() // 1_000_000


class RememberingTarget(VersionedTarget):
    """A target that tells which parts of prompts it keeps."""

    def __init__(self, version):
        super().__init__(version)
        self.held = {"5c1e07a2": 800}
        self.is_silent = False
        self.started_at = 1

    def start_again(self, version):
        """Start again under the same id and address."""
        self.version, self.started_at = version, unix_ms()

    def respond(self, request):
        if request.startswith(b"GET /api/report"):
            return make_response(orjson.dumps({"born": self.started_at}), headers="")
        if request.startswith(b"GET /api/kv-list"):
            if self.is_silent:
                return make_response(b"", "503 Service Unavailable", "")
            held = [["", part, tokens, "m"] for part, tokens in self.held.items()]
            body = orjson.dumps({"epoch": 1, "next": 1, "held": held})
            return make_response(body, headers="")
        prompt = parse_headers(request).get("x-prompt-prefix", "")
        for part in filter(None, prompt.split(",")):
            name, _, tokens = part.partition(":")
            self.held[name] = int(tokens)
            last = name
        if prompt:
            self.held[last] += len(FIRST_IDS)
        return super().respond(request)


@pytest.fixture
def targets():
    versions = ("v1.1", "v1.1", "v1.2", "v1.2")
    with contextlib.ExitStack() as stack:
        yield [stack.enter_context(RememberingTarget(version)) for version in versions]


def prompt_of(number):
    return f"5c1e07a2:800,{0xE4400000 + number:x}:{OWN_TOKENS}"


def begin_streams(fleet, targets):
    """Begin streams that break off; return the version that began each."""
    calls = itertools.cycle(ADDRESSES[: fleet.count])
    original, prompt = fleet.call, {}
    fleet.call = lambda *args, **headers: original(*args, **(prompt | headers))
    versions = {}
    for number in range(STREAMS):
        prompt["X_Prompt_Prefix"] = prompt_of(number)
        versions[f"r{number}"] = begin_stream(fleet, targets, next(calls), f"r{number}")
    fleet.call = original
    return versions


def lose_all_gateways(fleet):
    for process in fleet.processes:
        process.kill()
        process.wait()
    fleet.processes = [fleet._start(address) for address in fleet.addresses]
    fleet.wait_until_ready()


def resume_stream(fleet, address, number, call=call_until_run):
    return call(
        fleet,
        "/stream/1",
        address,
        "POST",
        X_Request_Id=f"r{number}-again",
        X_Prompt_Prefix=prompt_of(number),
        Last_Event_Id="2",
        Resumes=f"r{number}",
    ).status


def test_streams_go_on_at_their_version_after_the_loss_of_all_gateways(
    tmp_path, targets
):
    # None went on: what the gateways knew of the streams was gone with them.
    with GatewayFleet(tmp_path, count=2) as fleet:
        start_fleet(fleet, targets, max_attempts=1, terms=ENGINE)
        versions = begin_streams(fleet, targets)
        lose_all_gateways(fleet)
        statuses = [
            resume_stream(fleet, fleet.addresses[number % 2], number)
            for number in range(STREAMS)
        ]
    assert not wrong_version_runs(targets, versions)
    assert statuses == [200] * STREAMS


def test_a_stream_that_no_target_remembers_for_sure_does_not_go_on(tmp_path, targets):
    with GatewayFleet(tmp_path, count=2) as fleet:
        start_fleet(fleet, targets, max_attempts=1, terms=ENGINE)
        begin_streams(fleet, targets)
        for target in targets:
            target.held.clear()
        # Another version may have begun the first, and a silent one the second.
        for target in (targets[0], targets[2]):
            target.held["e4400000"] = OWN_TOKENS + 9
        lose_all_gateways(fleet)
        assert resume_stream(fleet, ADDRESSES[0], 0) == 503
        assert resume_stream(fleet, ADDRESSES[0], 1) == 503
        targets[0].held["e4400002"] = OWN_TOKENS + 9
        targets[3].is_silent = True
        assert resume_stream(fleet, ADDRESSES[1], 2) == 503
    assert not [request for target in targets for request in target.resumed]


def test_targets_that_are_no_engines_are_not_asked_for_prompts(tmp_path, targets):
    # A plain service ran the question, which no caller had sent.
    with GatewayFleet(tmp_path, count=2) as fleet:
        start_fleet(fleet, targets, max_attempts=1)
        begin_streams(fleet, targets)
        lose_all_gateways(fleet)
        assert resume_stream(fleet, ADDRESSES[0], 0) == 503
    seen = [request for target in targets for request in target.seen]
    assert not [request for request in seen if request.startswith(b"GET /api/")]


def record(name, version, service="plain"):
    return TargetRecord(name, service, "10.0.0.1", 80, "north", 4, version=version)


def test_only_a_single_possible_version_is_inferred():
    old, new = record("t1", "v1"), record("t2", "v2")
    assert infer_origin([old], []) == StreamOrigin("plain", "v1")
    assert infer_origin([old], [record("t3", "v1")]) == StreamOrigin("plain", "v1")
    assert infer_origin([old, new], []) is None
    assert infer_origin([old], [new]) is None
    assert infer_origin([], [old]) is None
    assert infer_origin([], []) is None
    assert infer_origin([record("t1", "")], []) is None
    assert infer_origin([old, record("t4", "v1", "other")], []) is None


def make_search(parts_by_target, listed=None, known=()):
    """Return a search, and the list of the targets that it has asked.

    Parameters
    ----------
    parts_by_target : dict of str to dict or None
        Tokens that each target keeps by part; None if it does not tell.
    listed : list of TargetRecord or None
        What the platform lists; None for all targets, with version v1.
    known : sequence of TargetRecord
        What the gateway has read before.
    """
    if listed is None:
        listed = [record(name, "v1") for name in parts_by_target]
    asked = []

    def read(target):
        asked.append(target.id)
        if parts_by_target[target.id] is None:
            raise PlatformError("silent")
        return parts_by_target[target.id]

    search = OriginSearch(lambda: listed, lambda: known, read, lambda: 0.0)
    return search, asked


def infer(search, prompt, last_event_id="3", tokens_per_event=4.0):
    pairs = [("X-Prompt-Prefix", prompt), ("Last-Event-Id", last_event_id)]
    return search.infer({"plain"}, parse_caller_headers(pairs), tokens_per_event)


def test_a_target_that_generated_fewer_events_did_not_begin_the_stream():
    # One that was silent until another began the stream has read the prompt, too.
    search, _ = make_search({"t1": {"aa": 112}, "t2": {"bb": 9}})
    assert infer(search, "cc:50,aa:100").version == "v1"
    assert infer(search, "cc:50,aa:100", "4").version == "v1"
    assert infer(search, "cc:50,aa:100", "5") is None
    assert infer(search, "cc:50,aa:112", "1") is None


# The origin, whose run was broken off, kept less than the whole prompt. Another target
# had run the request before, but its response was lost; the stream went on there.
def test_a_target_that_keeps_part_of_the_prompt_may_have_begun_the_stream():
    listed = [record("t1", "v1"), record("t2", "v2")]
    search, _ = make_search({"t1": {"aa": 200}, "t2": {"aa": 96}}, listed)
    assert infer(search, "bb:10,aa:100") is None
    search, _ = make_search({"t1": {"aa": 200}, "t2": {"bb": 10}}, listed)
    assert infer(search, "bb:10,aa:100").version == "v1"


def test_each_target_is_asked_once_for_streams_that_are_taken_up_together():
    search, asked = make_search({"t1": {"aa": 100}, "t2": {}})
    for _ in range(50):
        infer(search, "bb:10,aa:90")
    assert sorted(asked) == ["t1", "t2"]


def test_a_large_service_is_not_asked():
    count = MAX_ASKED_TARGETS + 1
    search, asked = make_search({f"t{n}": {} for n in range(count)})
    assert infer(search, "aa:100") is None
    assert not asked


@pytest.mark.parametrize("prompt", ["", "aa", "aa:", "aa:x", ":5"])
def test_a_prompt_without_an_own_part_is_not_looked_for(prompt):
    search, asked = make_search({"t1": {}})
    assert infer(search, prompt) is None
    assert not asked


@pytest.mark.parametrize("event", ["", "0", "-1", "x", "٣"])
def test_a_stream_without_a_number_of_its_last_event_is_not_looked_for(event):
    search, asked = make_search({"t1": {"aa": 500}})
    assert infer(search, "aa:100", event) is None
    assert not asked


# A gateway that was cut off knew the former version's targets only. One of them kept an
# earlier request of the session.
def test_a_version_that_joined_while_the_gateway_was_cut_off_is_asked_too():
    former = [record("t1", "v1")]
    listed = [*former, record("t2", "v2")]
    kept = {"t1": {"aa": 200}, "t2": {"aa": 200}}
    search, asked = make_search(kept, listed, former)
    assert infer(search, "bb:10,aa:100") is None
    assert sorted(asked) == ["t1", "t2"]
    kept["t1"] = {}
    search, _ = make_search(kept, listed, former)
    assert infer(search, "bb:10,aa:100").version == "v2"


def test_targets_that_just_left_or_started_again_may_have_begun_the_stream():
    kept = {"t1": {"aa": 200}, "t2": None}
    listed = [record("t1", "v1")]
    search, _ = make_search(kept, listed, [record("t2", "v2")])
    assert infer(search, "bb:10,aa:100") is None
    started_again = [replace(listed[0], started_at=7)]
    search, asked = make_search(kept, started_again, [record("t1", "v0")])
    assert infer(search, "bb:10,aa:100") is None
    assert asked == ["t1"]


def test_nothing_is_inferred_while_the_platform_does_not_tell_its_targets():
    search, asked = make_search({"t1": {"aa": 200}})

    def fail():
        raise PlatformError("the store cannot be reached")

    search.read_listed = fail
    assert infer(search, "bb:10,aa:100") is None
    assert not asked


# A target that began streams lost power with all gateways. Those that had just started
# took the version of another, which kept an earlier request, for that of the streams.
@pytest.mark.parametrize(
    "successor", ["the same id", "another id", "another id, late", "another version"]
)
def test_a_stream_of_a_target_that_ended_does_not_go_on_at_another_version(
    tmp_path, targets, successor
):
    old, new = targets[0], targets[2]
    with GatewayFleet(tmp_path, count=2) as fleet:
        start_fleet(fleet, [], max_attempts=1, terms=ENGINE)
        since = {"born": unix_ms() - 60_000, "sequence": 51}
        fleet.list_target("t1", old, version=old.version, **since)
        fleet.list_target("t2", new, version=new.version, **since)
        wait_until_listed(fleet, 2)
        begin_streams(fleet, [old, new])
        parts = [f"{0xE4400000 + number:x}" for number in range(STREAMS)]
        old.held |= dict.fromkeys(parts, 2 * OWN_TOKENS)
        new.held.clear()
        name = "t3" if successor.startswith("another id") else "t2"
        version = "v1.3" if successor == "another version" else new.version
        if name == "t3":
            fleet.remove("servers/t2")
        new.start_again(version)
        if successor == "another id, late":
            # It has run for long when it is listed.
            new.started_at = since["born"]
        start = {"born": new.started_at, "sequence": 1}
        fleet.list_target(name, new, version=version, **start)
        lose_all_gateways(fleet)
        statuses = [
            resume_stream(fleet, fleet.addresses[number % 2], number, GatewayFleet.call)
            for number in range(STREAMS)
        ]
    assert statuses == [503] * STREAMS
    assert not [request for target in targets for request in target.resumed]


# The same at a gateway that reaches neither the store nor a peer. The stream went on at
# the version that it knew.
def test_a_stream_of_a_version_that_joined_unnoticed_does_not_go_on_at_another(
    tmp_path, targets
):
    old, new = targets[:2], targets[2:]
    versions = {f"r{number}": "v1.2" for number in range(STREAMS)}
    with StoreFleet(tmp_path, bounds={"revokeFailClosed": False}) as fleet:
        start_fleet(fleet, old, max_attempts=1, terms=ENGINE)
        fleet.turn_away(ADDRESSES[0])
        for number, target in enumerate(new, len(old)):
            fleet.list_target(f"t{number}", target, version=target.version)
        # The newer targets began the streams, the others an earlier request of each
        # session.
        parts = [f"{0xE4400000 + number:x}" for number in range(STREAMS)]
        for target in targets:
            target.held |= dict.fromkeys(parts, 2 * OWN_TOKENS)
        assert resume_stream(fleet, ADDRESSES[0], 0) == 503
        fleet.let_in(ADDRESSES[0])
        wait_until_listed(fleet, len(targets))
        assert resume_stream(fleet, ADDRESSES[0], 1) == 503
        for target in old:
            target.held.clear()
        assert resume_stream(fleet, ADDRESSES[0], 2) == 200
    assert not wrong_version_runs(targets, versions)


def test_what_a_target_keeps_since_it_started_again_is_not_that_of_its_former_start():
    content = orjson.dumps({"born": 2, "held": [["", "aa", 200, "m"]]})
    with FakeTarget(lambda request: make_response(content, headers="")) as target:
        port = int(target.url.rpartition(":")[2])
        listed = replace(record("t1", "v1"), host="127.0.0.1", port=port, started_at=2)
        assert EngineClient().read_parts(listed) == {"aa": 200}
        with pytest.raises(PlatformError, match="started again"):
            EngineClient().read_parts(replace(listed, started_at=1))


# A gateway that did not read the store took a target for the one that it was before.
def test_a_stream_does_not_go_on_at_a_target_that_started_again_unnoticed(
    tmp_path, targets
):
    old = targets[:2]
    with StoreFleet(tmp_path, bounds={"revokeFailClosed": False}) as fleet:
        start_fleet(fleet, old, max_attempts=1, terms=ENGINE)
        versions = begin_streams(fleet, old)
        fleet.turn_away(ADDRESSES[0])
        time.sleep(MAX_LIST_AGE_SECONDS + 0.5)
        assert resume_stream(fleet, ADDRESSES[0], 0) == 200
        for target in old:
            target.start_again("v1.2")
        time.sleep(VALIDITY_SECONDS)
        assert resume_stream(fleet, ADDRESSES[0], 1) == 503
        assert "the version of the target is not certain" in fleet.log()
    assert [name for target in old for name in target.resumed] == ["r0"]
    assert versions == {f"r{number}": "v1.1" for number in range(STREAMS)}


def make_starts(list_age, start=1):
    """Return the check of a gateway whose list is of some age, and what it asked."""
    asked = []

    def read(target):
        asked.append(target.id)
        if start is None:
            raise PlatformError("silent")
        return start

    starts = TargetStarts(
        lambda: -list_age, lambda name: name == "plain", read, lambda: 0.0
    )
    return starts, asked


@pytest.mark.parametrize("start", [2, None])
def test_a_target_whose_start_is_not_the_listed_one_gets_no_stream(start):
    starts, _ = make_starts(2 * MAX_LIST_AGE_SECONDS, start)
    with pytest.raises(NotSentError):
        starts.check(replace(record("t1", "v1"), started_at=1))


def test_targets_are_asked_once_and_only_while_their_list_may_be_outdated():
    listed = replace(record("t1", "v1"), started_at=1)
    starts, asked = make_starts(2 * MAX_LIST_AGE_SECONDS)
    for _ in range(9):
        starts.check(listed)
    starts.check(record("t2", "v1", "no engine"))
    assert asked == ["t1"]
    starts, asked = make_starts(0.5 * MAX_LIST_AGE_SECONDS)
    starts.check(listed)
    assert not asked


def change(revision, name, version=None, started_at=0, sequence=1, **options):
    """Return a `TargetUpdate`; without a version, the target was removed."""
    entry = None
    if version is not None:
        entry = replace(
            record(name, version),
            started_at=started_at,
            sequence=sequence,
            leaving=options.pop("leaving", False),
        )
    return TargetUpdate(revision, name, entry, **options)


def former_versions(changes, listed=(), begun_after=1000.0):
    starts = find_former_starts(changes, listed, begun_after)
    return {start.target: (start.version, start.left_at) for start in starts}


def test_a_start_ends_with_the_next_one_under_its_id_or_with_its_removal():
    changes = [
        change(5, "t1", "v2", 2000, is_first=True),
        change(6, "t2", "v1", 2100, is_first=True),
        change(7, "t1", "v2", 9000),
        change(8, "t2"),
        change(9, "t3", "v1", 9500, is_first=True),
    ]
    assert former_versions(changes) == {"t1": ("v2", 7), "t2": ("v1", 8)}


def test_of_a_start_whose_reports_are_discarded_the_version_is_not_known():
    changes = [change(7, "t1", "v2", 9000), change(8, "t2")]
    young = replace(record("t3", "v1"), started_at=5000)
    old = replace(record("t4", "v1"), started_at=500)
    assert former_versions(changes, [young, old]) == {
        "t1": (None, 7),
        "t2": (None, 8),
        "t3": (None, None),
    }


def test_a_target_that_is_listed_again_has_not_ended():
    changes = [
        change(5, "t1", "v1", 2000, 3, is_first=True),
        change(6, "t1"),
        change(7, "t1", "v1", 2000, 9, is_first=True),
        change(8, "t2"),
        change(9, "t2", "v1", 500, 90, is_first=True),
    ]
    assert not former_versions(changes)


def test_no_stream_begins_at_a_target_that_has_reported_that_it_leaves():
    changes = [
        change(5, "t1", "v1", 2000, is_first=True),
        change(6, "t1", "v1", 2000, 5, leaving=True),
        change(7, "t1", "v1", 2000, 6, leaving=True),
        change(8, "t1"),
    ]
    assert former_versions(changes) == {"t1": ("v1", 6)}


FORMER = FormerStart("t1", record("t1", "v1"), 10)


def make_history(*changes, reading=(10, 0.0)):
    return StartHistory([FORMER], changes, 1.0, lambda revision: reading)


def test_a_target_that_had_only_begun_to_report_kept_no_earlier_request():
    def possible(*changes):
        history = make_history(*changes, reading=(99, 0.0))
        holder = replace(record("t2", "v2"), started_at=7)
        return history.possible_starts(60.0, [holder])

    young = change(11, "t2", "v2", 7, YOUNG_REPORTS)
    assert not possible(young)
    assert possible() == [FORMER]
    # It may have been listed for long, or had stopped to report before.
    assert possible(change(11, "t2", "v2", 7, YOUNG_REPORTS + 1)) == [FORMER]
    assert possible(change(9, "t2", "v2", 7, 1)) == [FORMER]
    # The reports of others, or of its former start, tell nothing.
    assert possible(change(11, "t2", "v2", 6, 1)) == [FORMER]
    assert possible(change(11, "t3", "v2", 7, 1)) == [FORMER]


def test_a_target_that_left_before_a_stream_can_have_begun_did_not_begin_it():
    holder = replace(record("t2", "v2"), started_at=7)
    reports = [change(9, "t3", "v1", 7, 1), change(11, "t3", "v1", 7, 11)]
    since = LEAVING_NOTICE_SECONDS + 20.0
    history = make_history(reading=(20, since))
    assert not history.possible_starts(20.0, [holder])
    assert history.possible_starts(20.1, [holder]) == [FORMER]
    # Reports count from the first one after it left.
    history = make_history(*reports, reading=(20, 0.0))
    assert history.possible_starts(1.0, [holder]) == [FORMER]
    later = change(15, "t3", "v1", 7, 31)
    history = make_history(*reports, later, reading=(20, 0.0))
    assert history.seconds_since(10) == pytest.approx(20 * MIN_INTERVAL_SHARE)
    assert not history.possible_starts(17.0, [holder])
    # The rest is counted by this instance's own readings.
    assert make_history(*reports, later, reading=(14, 3.0)).seconds_since(10) == 3.0


def test_callers_state_what_is_left_or_what_they_wait_for_each_attempt():
    assert oldest_age(4.0, 15.0) == 11.0
    assert oldest_age(14.0, 15.0) == 14.0
    assert oldest_age(16.0, 15.0) == math.inf


class DiscardedChanges:
    """A store whose changes up to a revision are discarded."""

    def __init__(self, oldest):
        self.oldest = oldest
        self.calls = []

    def read(self, after, until, era):
        self.calls.append(after)
        if after < self.oldest:
            raise HistoryLostError("discarded")
        return [change(n, "t1", "v1", n) for n in range(after + 1, until + 1)]


@pytest.mark.parametrize("oldest", [0, 1, 37, 99, 100])
def test_all_changes_that_the_store_still_has_are_found(oldest):
    store, registry = DiscardedChanges(oldest), Registry(lambda: 50.0)
    registry.apply_batch(Batch((), 100, True, 0.0))
    history = TargetHistory(store.read, registry, 1.0, lambda: 50.0, lambda: 0.0)
    assert len(history.read([], 10.0).changes) == 100 - oldest
    assert len(store.calls) <= 9
    store.calls.clear()
    history.read([], 10.0)
    assert store.calls == [oldest]


def test_changes_before_a_reading_that_is_old_enough_are_not_needed():
    clock = SimpleNamespace(now=0.0)
    store, registry = DiscardedChanges(0), Registry(lambda: clock.now)
    registry.apply_batch(Batch((), 40, True, 0.0))
    clock.now = 5.0
    registry.apply_batch(Batch((), 60, False, 0.0))
    clock.now = 13.0
    history = TargetHistory(store.read, registry, 1.0, lambda: clock.now)
    history.read([], 10.0)
    assert store.calls == [40]
    store.oldest = 41
    with pytest.raises(PlatformError):
        history.read([], 10.0)


def test_nothing_is_inferred_while_the_former_starts_of_targets_are_not_known():
    search, asked = make_search({"t1": {"aa": 200}})

    def fail(listed, max_age):
        raise PlatformError("the store cannot be reached")

    search.read_history = fail
    assert infer(search, "bb:10,aa:100") is None
    assert not asked
    search.read_history = lambda *args: StartHistory([FormerStart("t2", None)])
    assert infer(search, "bb:10,aa:200") is None
