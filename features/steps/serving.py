"""Steps about serving callers."""

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
        fleet.first_declarations = copy.deepcopy(fleet.declarations)
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
    context.answer = context.fleet.http.request(
        "POST",
        context.fleet.instances_by_id[f"e{number}"].url + "/v1/chat/completions",
        body=orjson.dumps(body),
        headers={"Authorization": f"Bearer key-{workspace}"},
    )


@then("the answer is whole and says it was answered")
def step_whole(context):
    assert context.answer.status == 200
    assert context.answer.headers["X-Almondglade-Outcome"] == "answered"
    text = context.answer.data.decode()
    assert f"t{context.tokens} " in text
    assert text.endswith("data: [DONE]\n\n")


@then("the answer is the error {code} and says it was not run")
def step_refused(context, code):
    error = orjson.loads(context.answer.data)["error"]
    assert error["code"] == code
    assert error["outcome"] == "not-run"
