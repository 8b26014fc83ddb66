"""Streams that callers take up again after all gateways were lost at once."""

import contextlib
import itertools
from threading import Lock

import orjson
import pytest

from almondglade.catalogue import TargetRecord
from almondglade.errors import PlatformError
from almondglade.gateway.originsearch import MAX_ASKED_TARGETS, OriginSearch
from almondglade.placement.origins import StreamOrigin, infer_origin
from almondglade.platform.front import parse_caller_headers

from .gatewayfleet import GatewayFleet, make_response
from .placing import make_pools
from .test_gateway_path import parse_headers
from .test_stream_versions import (
    ADDRESSES,
    FIRST_IDS,
    VersionedTarget,
    begin_stream,
    call_until_run,
    start_fleet,
    wrong_version_runs,
)

STREAMS = 8
OWN_TOKENS = 250
ENGINE = {"engine": {"stride": 1}}


class RememberingTarget(VersionedTarget):
    """A target that tells which parts of prompts it keeps."""

    def __init__(self, version):
        super().__init__(version)
        self.held = {"5c1e07a2": 800}
        self.is_silent = False

    def respond(self, request):
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


def resume_stream(fleet, address, number):
    return call_until_run(
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


def make_search(parts_by_target):
    pools = make_pools(*(record(name, "v1") for name in parts_by_target))
    asked = []

    def read(target):
        asked.append(target.id)
        if parts_by_target[target.id] is None:
            raise PlatformError("silent")
        return parts_by_target[target.id]

    search = OriginSearch(Lock(), pools.targets, read, lambda: 0.0)
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
