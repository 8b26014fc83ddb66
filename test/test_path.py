"""End-to-end tests with separate processes."""

import orjson
import pytest

from bench.fleet import Fleet, sample_declarations

PROMPT = {"model": "script-7b", "messages": [{"role": "user", "content": "a brief"}]}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with Fleet(sample_declarations(), tmp_path_factory.mktemp("logs")) as fleet:
        fleet.start_target("d1", "drafts", "muc-a")
        fleet.start_target("d2", "drafts", "muc-b")
        fleet.start_target("b1", "bookings", "muc-a")
        for name in ("e1", "e2", "e3"):
            fleet.start_instance(name, "muc-a")
        fleet.list_instances()
        fleet.await_ready(fleet.publish())
        yield fleet


def call(fleet, instance, method, path, document=None, workspace="partner-a"):
    return fleet.http.request(
        method,
        fleet.instances_by_id[instance].url + path,
        body=orjson.dumps(document) if document is not None else None,
        headers={"Authorization": f"Bearer key-{workspace}"},
    )


@pytest.mark.parametrize("instance", ["e1", "e2", "e3"])
def test_streams_a_completion_through_any_instance(fleet, instance):
    body = PROMPT | {"stream": True, "max_tokens": 5}
    answer = call(fleet, instance, "POST", "/v1/chat/completions", body)
    assert answer.status == 200
    assert answer.headers["X-Almondglade-Outcome"] == "answered"
    events = answer.data.decode().split("\n\n")
    assert [e for e in events if '"content"' in e][-1].count("t5 ") == 1
    assert events[-2] == "data: [DONE]"


def test_returns_a_completion_that_is_not_streamed(fleet):
    body = PROMPT | {"max_tokens": 3}
    answer = call(fleet, "e1", "POST", "/v1/chat/completions", body)
    message = orjson.loads(answer.data)["choices"][0]["message"]
    assert message["content"] == "t1 t2 t3 "


@pytest.mark.parametrize("instance", ["e1", "e2", "e3"])
def test_relays_a_request_to_a_plain_service(fleet, instance):
    answer = call(fleet, instance, "POST", "/bookings/slots/7", {"reel": instance})
    assert answer.status == 200
    assert orjson.loads(answer.data)["path"] == "/slots/7"


def test_refuses_an_unknown_key(fleet):
    answer = call(fleet, "e1", "GET", "/v1/models", workspace="nobody")
    assert answer.status == 401
    error = orjson.loads(answer.data)["error"]
    assert (error["code"], error["outcome"]) == ("unauthenticated", "not-run")


def test_headers_of_one_response_do_not_leak_into_the_next(fleet):
    answers = [call(fleet, "e1", "POST", "/v1/keys", {"count": 1}) for _ in range(3)]
    assert {answer.status for answer in answers} == {200}
    assert len({len(list(answer.headers.iteritems())) for answer in answers}) == 1


def test_every_request_and_dispatch_is_counted_once(fleet):
    def counts():
        url = fleet.instances_by_id["e2"].operator_url + "/metrics"
        lines = fleet.http.request("GET", url).data.decode().splitlines()
        series = (line.rpartition(" ") for line in lines if not line.startswith("#"))
        return {name: float(value) for name, _, value in series}

    before = counts()
    call(fleet, "e2", "POST", "/v1/chat/completions", PROMPT | {"max_tokens": 4})
    call(fleet, "e2", "GET", "/bookings/slots/1")
    call(fleet, "e2", "GET", "/nowhere/1")
    after = counts()
    prefix = "almondglade_"
    for series, change in {
        'requests_total{code="ok",outcome="answered",service="drafts",tier="0"}': 1,
        'requests_total{code="ok",outcome="answered",service="bookings",tier="0"}': 1,
        'requests_total{code="not_found",outcome="not-run",service="",tier=""}': 1,
        'dispatches_total{result="completed",service="drafts"}': 1,
        'tokens_total{kind="output",service="drafts"}': 4,
        'first_byte_seconds_count{service="drafts",tier="0"}': 1,
    }.items():
        series = prefix + series
        assert after[series] - before.get(series, 0) == change, series
