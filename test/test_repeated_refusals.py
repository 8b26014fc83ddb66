"""A target writes an earlier refusal once more, before its next answer."""

import random
import threading
from collections import Counter

import pytest

from .gatewayfleet import GatewayFleet, make_response, make_route
from .support.targets import FakeTarget

CALLERS = 8
REQUESTS_PER_CALLER = 60
REFUSED_SHARE = 0.25
REFUSAL_HEADERS = "X-Not-Executed: 1\r\n"
NOT_RUN_STATUSES = {408, 421, 429, 503}


def read_id(request):
    head = request.lower().partition(b"\r\n\r\n")[0].split(b"\r\n")
    return next(
        line.partition(b":")[2].strip().decode()
        for line in head
        if line.startswith(b"x-request-id:")
    )


class RepeatingTarget:
    """Refuses some requests, and each refusal again just before its next answer.

    Parameters
    ----------
    runs : Counter
        Runs by the id of the request.
    has_id : bool
        Whether the repeated refusal names the request that it refused.
    """

    def __init__(self, runs, has_id, seed):
        self.runs = runs
        self.has_id = has_id
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._refused = b""

    def __call__(self, request):
        with self._lock:
            refused, self._refused = self._refused, b""
            if self._rng.random() < REFUSED_SHARE:
                self._refused = request if self.has_id else b""
                self._refused = self._refused or b"no id"
                return self._refuse(request)
            self.runs[read_id(request)] += 1
        answer = make_response(request=request)
        if not refused:
            return answer
        return self._refuse(refused if self.has_id else b"") + answer

    @staticmethod
    def _refuse(request):
        return make_response(
            b"full", "503 Service Unavailable", REFUSAL_HEADERS, request=request
        )


def send_all(fleet, runs, keeps_id):
    """Send requests from several callers; return the statuses by request id.

    A refused request is sent again, up to twice.
    """
    statuses: dict = {}

    def call(number):
        for index in range(REQUESTS_PER_CALLER):
            for attempt in range(3):
                suffix = "" if keeps_id else f"-{attempt}"
                request_id = f"c{number}-{index}{suffix}"
                response = fleet.call("/book/1", X_Request_Id=request_id)
                statuses.setdefault(request_id, []).append(response.status)
                if response.status not in NOT_RUN_STATUSES:
                    break

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


@pytest.mark.parametrize("keeps_id", [False, True], ids=["new ids", "same id"])
@pytest.mark.parametrize("has_id", [True, False], ids=["with id", "without id"])
def test_a_repeated_refusal_is_not_taken_for_that_of_another_request(
    tmp_path, has_id, keeps_id
):
    # Callers were told that requests had not run which a target had run.
    runs: Counter = Counter()
    targets = [FakeTarget(RepeatingTarget(runs, has_id, seed)) for seed in (1, 2)]
    with GatewayFleet(tmp_path) as fleet, targets[0], targets[1]:
        for number, target in enumerate(targets):
            fleet.list_target(f"t{number}", target, slots=CALLERS)
        route = make_route("/book/", "non_idempotent", "plain", maxAttempts=3)
        fleet.configure(2, routes=[route])
        fleet.start()
        statuses = send_all(fleet, runs, keeps_id)
    twice = [name for name, count in runs.items() if count > 1]
    falsely_refused = [
        name
        for name, codes in statuses.items()
        if codes[-1] in NOT_RUN_STATUSES and runs[name]
    ]
    assert (twice, falsely_refused) == ([], [])
    served = sum(codes[-1] == 200 for codes in statuses.values())
    assert served >= 0.8 * CALLERS * REQUESTS_PER_CALLER


def test_a_doubtful_refusal_does_not_count_against_its_target(tmp_path):
    # A caller that sends a refused request again may get a true second refusal.
    def respond(request):
        if read_id(request) == "r1":
            return RepeatingTarget._refuse(request)
        return make_response(request=request)

    with GatewayFleet(tmp_path) as fleet, FakeTarget(respond) as target:
        fleet.list_target("t0", target, slots=CALLERS)
        route = make_route("/book/", "non_idempotent", "plain", maxAttempts=1)
        fleet.configure(2, routes=[route])
        fleet.start()
        statuses = [
            fleet.call("/book/1", X_Request_Id=request_id).status
            for request_id in ("r0", "r1", "r1", "r2", "r1", "r3")
        ]
        log = fleet.log()
    assert [statuses[0], statuses[3], statuses[5]] == [200] * 3
    assert statuses[1] in NOT_RUN_STATUSES
    # The second refusal may be the first one repeated.
    assert {statuses[2], statuses[4]} == {504}
    assert "target paused" not in log
