"""Events of one stream come from targets of one software version only."""

import itertools
import time

import pytest
import urllib3

from .gatewayfleet import GatewayFleet, make_route
from .support.targets import FakeTarget
from .test_gateway_path import make_stream, parse_headers

ADDRESSES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
# Streams that callers take up again in one test.
STREAMS = 12
# For how long callers come back after refusals.
REFUSED_SECONDS = 3.0
FIRST_IDS, LAST_IDS = (1, 2), (3, 4)


class VersionedTarget(FakeTarget):
    """A target whose new streams break off after some events.

    Attributes
    ----------
    resumed : list of str
        Values of the Resumes header, one entry for each resumed stream.
    """

    def __init__(self, version):
        super().__init__(self.respond)
        self.version = version
        self.resumed = []

    def respond(self, request):
        headers = parse_headers(request)
        if "last-event-id" in headers:
            self.resumed.append(headers.get("resumes", ""))
            return make_stream(LAST_IDS)
        return make_stream(FIRST_IDS, end=False)


def wait_until_listed(fleet, count):
    """Wait until each gateway has listed all targets and found its peers."""
    end = time.monotonic() + 10.0
    while not all(
        fleet.log(address).count("target listed") >= count
        and fleet.log(address).count("peer found") >= len(fleet.addresses) - 1
        for address in fleet.addresses
    ):
        assert time.monotonic() < end
        time.sleep(0.05)


@pytest.fixture
def targets():
    versions = ("v1.1", "v1.1", "v1.2", "v1.2", "v1.2")
    targets = [VersionedTarget(version) for version in versions]
    for target in targets:
        target.__enter__()
    yield targets
    for target in targets:
        target.__exit__()


def start_fleet(fleet, targets, max_attempts, **options):
    fleet.configure(
        routes=[
            make_route(
                "/stream/",
                "streaming",
                "plain",
                streamResume=True,
                maxAttempts=max_attempts,
            )
        ],
        **options,
    )
    for number, target in enumerate(targets):
        fleet.list_target(f"t{number}", target, version=target.version)
    fleet.start()
    wait_until_listed(fleet, len(targets))


def call_until_run(fleet, *request, **headers):
    """Call as long as the request is refused, as a target pauses after a failure."""
    end = time.monotonic() + REFUSED_SECONDS
    response = fleet.call(*request, **headers)
    while response.status == 503 and time.monotonic() < end:
        time.sleep(0.05)
        response = fleet.call(*request, **headers)
    return response


def begin_stream(fleet, targets, address, request_id):
    """Begin a stream that breaks off; return the version that began it."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        call_until_run(fleet, "/stream/1", address, "POST", X_Request_Id=request_id)
    return next(
        target.version
        for target in targets
        for request in target.seen
        if parse_headers(request).get("x-request-id") == request_id
    )


def resume_stream(fleet, address, request_id):
    """Take a stream up; return the status."""
    return call_until_run(
        fleet,
        "/stream/1",
        address,
        "POST",
        X_Request_Id=f"{request_id}-again",
        Last_Event_Id="2",
        Resumes=request_id,
    ).status


def wrong_version_runs(targets, version_by_request):
    return [
        request_id
        for target in targets
        for request_id in target.resumed
        if version_by_request.get(request_id) != target.version
    ]


def test_a_gateway_resumes_a_stream_on_the_version_that_began_it(tmp_path, targets):
    with GatewayFleet(tmp_path) as fleet:
        start_fleet(fleet, targets, max_attempts=2)
        versions_by_request = {}
        for number in range(STREAMS):
            request_id = f"r{number}"
            response = call_until_run(
                fleet, "/stream/1", ADDRESSES[0], "POST", X_Request_Id=request_id
            )
            assert response.data.count(b"id:") == len(FIRST_IDS + LAST_IDS)
            versions_by_request[request_id] = {
                target.version
                for target in targets
                for request in target.seen
                if parse_headers(request).get("x-request-id") == request_id
            }
        assert all(len(versions) == 1 for versions in versions_by_request.values())


def test_a_stream_without_another_target_of_its_version_is_not_resumed(
    tmp_path, targets
):
    only_two = [targets[0], targets[2]]
    with GatewayFleet(tmp_path) as fleet:
        start_fleet(fleet, only_two, max_attempts=2)
        with pytest.raises(urllib3.exceptions.HTTPError):
            fleet.call("/stream/1", method="POST")
        assert not any(target.resumed for target in only_two)


def wait_until_logged(fleet, event, count):
    """Wait until each gateway has logged an event this often."""
    end = time.monotonic() + 10.0
    while any(fleet.log(address).count(event) < count for address in fleet.addresses):
        assert time.monotonic() < end
        time.sleep(0.05)


def test_a_stream_taken_up_at_any_gateway_goes_on_at_its_version(tmp_path, targets):
    old, new = targets[:2], targets[2:]
    with GatewayFleet(tmp_path, count=len(ADDRESSES)) as fleet:
        start_fleet(fleet, old, max_attempts=1)
        version_by_request = {
            f"old-{number}": begin_stream(fleet, old, address, f"old-{number}")
            for number, address in zip(range(STREAMS), itertools.cycle(ADDRESSES))
        }
        for number in range(len(old)):
            fleet.remove(f"servers/t{number}")
        wait_until_logged(fleet, "target dropped", len(old))
        for number, target in enumerate(new):
            fleet.list_target(f"n{number}", target, version=target.version)
        wait_until_listed(fleet, len(targets))
        version_by_request |= {
            f"new-{number}": begin_stream(fleet, new, address, f"new-{number}")
            for number, address in zip(range(STREAMS), itertools.cycle(ADDRESSES))
        }
        for number, target in enumerate(old):
            fleet.list_target(f"t{number}", target, version=target.version)
        wait_until_listed(fleet, len(targets) + len(old))
        served = sum(
            resume_stream(fleet, address, request_id) == 200
            for request_id, address in zip(
                version_by_request, itertools.cycle(ADDRESSES[1:])
            )
        )
        assert set(version_by_request.values()) == {"v1.1", "v1.2"}
        assert not wrong_version_runs(targets, version_by_request)
        assert served == 2 * STREAMS


def test_a_stream_of_a_killed_gateway_goes_on_at_its_version(tmp_path, targets):
    with GatewayFleet(tmp_path, count=len(ADDRESSES)) as fleet:
        start_fleet(fleet, targets, max_attempts=1)
        version_by_request = {
            f"r{number}": begin_stream(fleet, targets, ADDRESSES[0], f"r{number}")
            for number in range(STREAMS)
        }
        fleet.processes[0].kill()
        statuses = [
            resume_stream(fleet, address, request_id)
            for request_id, address in zip(
                version_by_request, itertools.cycle(ADDRESSES[1:])
            )
        ]
        assert not wrong_version_runs(targets, version_by_request)
        logs = "\n".join(map(fleet.log, ADDRESSES))
        assert statuses.count(200) == STREAMS, f"{statuses}\n{logs}"


def test_a_stream_of_an_unknown_version_does_not_run(tmp_path, targets):
    with GatewayFleet(tmp_path) as fleet:
        start_fleet(fleet, targets, max_attempts=2)
        for headers in ({"Resumes": "never-begun"}, {}):
            response = fleet.call(
                "/stream/1", method="POST", Last_Event_Id="2", **headers
            )
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0.0
        assert not any(target.resumed for target in targets)


def test_a_stream_whose_version_has_gone_does_not_run(tmp_path, targets):
    with GatewayFleet(tmp_path) as fleet:
        start_fleet(fleet, targets[:1], max_attempts=1)
        begin_stream(fleet, targets, ADDRESSES[0], "r1")
        fleet.list_target("t1", targets[2], version="v1.2")
        wait_until_listed(fleet, 2)
        fleet.remove("servers/t0")
        wait_until_logged(fleet, "target dropped", 1)
        assert resume_stream(fleet, ADDRESSES[0], "r1") == 503
        assert not targets[2].resumed


def test_a_target_that_starts_again_with_another_version_gets_no_stream_of_the_first(
    tmp_path, targets
):
    with GatewayFleet(tmp_path) as fleet:
        start_fleet(fleet, targets[:1], max_attempts=1)
        begin_stream(fleet, targets, ADDRESSES[0], "r1")
        fleet.list_target("t0", targets[0], version="v1.2", born=2)
        time.sleep(1.0)
        assert resume_stream(fleet, ADDRESSES[0], "r1") == 503
        assert not targets[0].resumed


def test_a_slow_target_is_not_given_up_if_no_other_has_the_version(tmp_path, targets):
    with GatewayFleet(tmp_path) as fleet:
        start_fleet(fleet, [targets[0], targets[2]], max_attempts=2)
        began = begin_stream(fleet, targets, ADDRESSES[0], "r1")
        target = targets[0] if began == "v1.1" else targets[2]
        # Longer than the time after which a silent target is given up for another.
        target.pause = lambda: time.sleep(1.5)
        assert resume_stream(fleet, ADDRESSES[0], "r1") == 200
        assert target.resumed == ["r1"]
