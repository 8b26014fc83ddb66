"""Steps for requests of callers."""

import copy

import orjson
from behave import given, then, when

from bench.fleet import Fleet, sample_declarations


@given("a fleet of {count:d} instances with an engine and a plain service")
def step_fleet(context, count):
    if count not in context.fleets_by_size:
        fleet = context.stack.enter_context(Fleet(sample_declarations()))
        fleet.start_target("d1", "drafts", "muc-a")
        fleet.start_target("b1", "bookings", "muc-b")
        fleet.start_target("b2", "bookings", "muc-a")
        for number in range(1, count + 1):
            fleet.start_instance(f"e{number}", "muc-a")
        fleet.list_instances()
        fleet.await_ready(fleet.publish())
        fleet.initial_declarations = copy.deepcopy(fleet.declarations)
        context.fleets_by_size[count] = fleet
    context.fleet = context.fleets_by_size[count]


@when("{workspace} asks instance {number:d} for a draft of {tokens:d} tokens")
def step_ask(context, workspace, number, tokens):
    context.tokens = tokens
    body = {
        "model": "script-7b",
        "messages": [{"role": "user", "content": "a brief"}],
        "max_tokens": tokens,
        "stream": True,
    }
    context.response = context.fleet.http.request(
        "POST",
        context.fleet.instances_by_id[f"e{number}"].url + "/v1/chat/completions",
        body=orjson.dumps(body),
        headers={"Authorization": f"Bearer key-{workspace}"},
    )


@then("the response is complete with the outcome answered")
def step_whole(context):
    assert context.response.status == 200
    assert context.response.headers["X-Almondglade-Outcome"] == "answered"
    text = context.response.data.decode()
    assert f"t{context.tokens} " in text
    assert text.endswith("data: [DONE]\n\n")


@then("the response is the error {code} with the outcome not-run")
def step_refused(context, code):
    error = orjson.loads(context.response.data)["error"]
    assert error["code"] == code
    assert error["outcome"] == "not-run"
