"""Requests that a gateway passes to a peer, and what the peer makes of them."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from almondglade.dispatch.call import ResponseHead
from almondglade.errors import PeerError
from almondglade.gateway.peercalls import PeerCall
from almondglade.gateway.relaying import (
    ATTEMPTED_HEADER,
    AVOIDANCE_SECONDS,
    RELAY_HEADER,
    RelayPeers,
    RelayTerms,
    relay_attempts,
    relay_outcome,
    without_relay_header,
)
from almondglade.outcome import OUTCOME_HEADER, Code, Outcome

from .coordinating import FakeClock
from .cutfleet import CutFleet

STREAMS = 12


def make_peers(clock, **data_centre_by_instance):
    peers = [
        SimpleNamespace(instance=name, data_centre=data_centre, address=name)
        for name, data_centre in data_centre_by_instance.items()
    ]
    return RelayPeers("north", 7600, lambda: peers, clock)


def test_relays_spread_over_near_peers_before_remote_ones():
    relays = make_peers(FakeClock(), a="north", b="north", c="south")
    chosen = []
    for _ in range(8):
        peer = relays.choose("s", set())
        relays.record_start(peer)
        chosen.append(peer.instance)
    assert sorted(chosen[:4]) == ["a", "a", "b", "b"]
    assert "c" in chosen


def test_a_peer_that_could_not_take_a_request_is_passed_over_for_a_while():
    clock = FakeClock()
    relays = make_peers(clock, a="north", b="south")
    relays.avoid(relays.choose("s", set()), "s")
    assert relays.choose("s", set()).instance == "b"
    assert relays.choose("other", set()).instance == "a"
    clock.now += 1.1 * AVOIDANCE_SECONDS
    assert relays.choose("s", set()).instance == "a"
    assert relays.choose("s", {"a", "b"}) is None


def test_a_peer_through_which_a_run_broke_off_comes_after_the_others():
    relays = make_peers(FakeClock(), a="north", b="south")
    assert relays.choose("s", set(), {"a"}).instance == "b"
    assert relays.choose("s", {"b"}, {"a"}).instance == "a"
    relays.avoid(relays.choose("s", set(), {"a"}), "s")
    assert relays.choose("s", set(), {"a"}).instance == "a"


# Near peers that were cut off too took most attempts, again after each second.
def test_requests_of_a_data_centre_without_links_reach_another_one():
    clock = FakeClock()
    near = {f"n{number}": "north" for number in range(18)}
    far = {f"f{number}": "south" for number in range(57)}
    relays = make_peers(clock, **near, **far)
    attempts = []
    for _ in range(240):
        clock.now += 0.125
        tried = set()
        peer = relays.choose("s", tried)
        while peer.data_centre == "north":
            relays.avoid(peer, "s")
            tried.add(peer.instance)
            peer = relays.choose("s", tried)
        relays.record_answer(peer, "s")
        attempts.append(len(tried) + 1)
    assert max(attempts) <= 2
    assert sum(attempts) <= 1.5 * len(attempts)


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"instance": "e1", "service": "s", "time_left": -1}']
)
def test_invalid_terms_are_rejected(text):
    with pytest.raises(PeerError):
        RelayTerms.parse(text)


def test_terms_are_read_as_they_were_written():
    terms = RelayTerms(
        instance="e1", service="s", time_left=1.5, attempted_targets=("t1",)
    )
    assert RelayTerms.parse(terms.model_dump_json()) == terms


@pytest.mark.parametrize(
    ("values", "outcome"),
    [
        (["answered"], Outcome.ANSWERED),
        (["not-run"], Outcome.NOT_RUN),
        ([], None),
        (["else"], None),
        (["answered", "not-run"], None),
    ],
)
def test_only_a_clear_outcome_of_a_peer_counts(values, outcome):
    headers = tuple((OUTCOME_HEADER, value) for value in values)
    assert relay_outcome(ResponseHead(200, headers)) is outcome


def test_the_targets_that_a_peer_names_do_not_reach_the_caller():
    head = ResponseHead(200, ((ATTEMPTED_HEADER, "t1,t2"), ("X-Other", "1")))
    assert relay_attempts(head) == ["t1", "t2"]
    assert without_relay_header(head).headers == (("X-Other", "1"),)


@pytest.fixture(scope="module")
def cut_fleet(tmp_path_factory):
    """Three gateways, of which the first has lost its links to the targets."""
    folder = tmp_path_factory.mktemp("fleet")
    with CutFleet(folder, 3, cut_count=1, paths=("look",)) as fleet:
        fleet.send_requests()
        time.sleep(1.0)
        fleet.cut_links("reset")
        time.sleep(2.0)
        yield fleet


def test_a_relayed_response_is_that_of_the_target(cut_fleet):
    response = cut_fleet.call("/look/1", X_Request_Id="relayed-1")
    assert (response.status, response.data) == (200, b"relayed-1 done")
    assert response.headers["X-Response-Seal"] == "relayed-1"
    assert ATTEMPTED_HEADER not in response.headers
    assert cut_fleet.runs_by_request()["relayed-1"] == 1


def test_the_internal_headers_of_a_relayed_response_reach_no_caller(cut_fleet):
    for target in cut_fleet.targets:
        target.rate_limit = 1000
    response = cut_fleet.call("/look/1", X_Request_Id="relayed-2")
    assert response.data == b"relayed-2 done"
    assert response.headers["X-Response-Seal"] == "relayed-2"
    names = {name.lower() for name in response.headers}
    assert not {"server-limit", "server-brittle"} & names


def test_a_revoked_or_unknown_key_is_refused_before_a_relay(cut_fleet):
    assert cut_fleet.call("/look/1", key="no-such-key").status == 401


# The port is open to the machines of the network.
def test_a_relayed_request_of_a_stranger_is_refused(cut_fleet):
    terms = RelayTerms(instance="e", service="plain", time_left=1.0)
    sent = {RELAY_HEADER: terms.model_dump_json()}
    peer_port = cut_fleet.ports[3]
    response = cut_fleet.http.request(
        # This test connects from the address of the first gateway, which knows no
        # peer of its own address.
        "GET",
        f"http://127.0.0.1:{peer_port}/look/1",
        headers=sent,
    )
    assert response.status == 403


# A workspace is charged where its request arrives, and not once more at the peer.
def test_the_allowance_of_a_workspace_is_charged_once_for_a_relayed_request(tmp_path):
    with CutFleet(tmp_path, 3, cut_count=1, paths=("look",)) as fleet:
        fleet.configure(2, ratePerS=0.1, burst=20)
        fleet.send_requests()
        time.sleep(1.0)
        fleet.cut_links("reset")
        fleet.stopped.set()
        time.sleep(2.0)
        fleet.configure(3, ratePerS=0.01, burst=40)
        statuses = [fleet.call("/look/1").status for _ in range(60)]
    assert statuses.count(200) <= 41
    assert statuses.count(429) >= 19


# A peer that is killed leaves no stream half done and nothing run twice.
def test_relayed_requests_go_on_while_peers_are_killed(tmp_path):
    with CutFleet(tmp_path, 4, cut_count=1, paths=("look", "stream", "book")) as fleet:
        fleet.send_requests()
        time.sleep(1.0)
        fleet.cut_links("hang")
        time.sleep(3.0)
        since = time.monotonic()
        for index in (1, 2, 3):
            fleet.processes[index].kill()
            fleet.processes[index].wait()
            fleet.processes[index] = fleet._start(fleet.addresses[index])
            time.sleep(2.5)
        until = time.monotonic()
        time.sleep(0.5)
        shares = {
            kind: fleet.count_served(kind, fleet.cut_addresses, since, until)
            for kind in fleet.paths
        }
        runs = fleet.runs_by_request()
    for sent, served in shares.values():
        assert served >= 0.85 * sent, shares
    assert max(runs[name] for name in runs if name.startswith("book-")) == 1
    assert max(runs[name] for name in runs if name.startswith("look-")) <= 2


# Streams were resumed through the peer that had just been killed, and broke for good.
def test_streams_through_a_killed_peer_go_on_through_another_one(tmp_path):
    with CutFleet(tmp_path, 3, cut_count=1, paths=("look",)) as fleet:
        fleet.send_requests()
        time.sleep(1.0)
        fleet.cut_links("hang")
        time.sleep(3.0)
        fleet.stopped.set()
        for target in fleet.targets:
            target.slowdown = 5.0
        with ThreadPoolExecutor(STREAMS) as executor:
            responses = [
                executor.submit(fleet.call, f"/stream/{number}")
                for number in range(STREAMS)
            ]
            time.sleep(0.5)
            fleet.processes[1].kill()
            fleet.processes[1].wait()
            statuses = [response.result().status for response in responses]
        resumed = fleet.log(fleet.addresses[0]).count("resuming the stream")
    assert resumed
    assert statuses == [200] * STREAMS


# What a peer that stands still was given may run once it goes on, also long after the
# gateway that passed it on has answered its caller.
def test_a_relayed_request_runs_once_and_not_after_a_refusal_while_gateways_stand_still(
    tmp_path,
):
    paths = ("book", "once", "look")
    with CutFleet(tmp_path, 3, cut_count=1, paths=paths) as fleet:
        fleet.send_requests()
        time.sleep(1.0)
        fleet.cut_links("hang")
        time.sleep(2.5)
        # The first one passes its requests on to the others.
        for index in (1, 2, 0, 1):
            fleet.processes[index].send_signal(signal.SIGSTOP)
            time.sleep(2.0)
            fleet.processes[index].send_signal(signal.SIGCONT)
            time.sleep(0.5)
        time.sleep(3.0)
        relays = fleet.log(fleet.addresses[1]).count("relayed_by")
        runs = fleet.runs_by_request()
    assert relays
    single = {name for name in runs if name.startswith(("book-", "once-"))}
    assert {runs[name] for name in single} == {1}
    refused = {r.request_id for r in fleet.results if r.status in (429, 503)}
    assert not refused & single


class EndlessRefusal:
    """The call to a peer whose refusal does not end."""

    def __init__(self):
        self.bytes_read = 0

    def read(self):
        self.bytes_read += 1 << 16
        assert self.bytes_read < 1 << 20
        return b"x" * (1 << 16)


def test_a_refusal_of_a_peer_without_end_is_not_kept():
    request = SimpleNamespace(request_id="r1")
    call = SimpleNamespace(
        call=EndlessRefusal(), request=request, peer=SimpleNamespace(instance="e2")
    )
    assert PeerCall._read_peer_error(call) == (Code.INTERNAL, None)
