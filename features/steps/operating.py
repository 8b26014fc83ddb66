"""Steps about operators' changes."""

import time

import orjson
from behave import then, when

MAX_WAIT_SECONDS = 5.0


def look_up(context, instance, workspace, number):
    return context.fleet.http.request(
        "GET",
        f"{context.fleet.instances_by_id[instance].url}/bookings/slots/{number}",
        headers={"Authorization": f"Bearer key-{workspace}"},
    )


@when("data centre {name} is taken out")
def step_out(context, name):
    set_centre(context, name, "out")


@when("data centre {name} is brought back")
def step_back(context, name):
    set_centre(context, name, "in")


def set_centre(context, name, state):
    context.fleet.declarations["data_centres"][name]["state"] = state
    context.fleet.publish()


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    time.sleep(seconds)
    context.since = time.time()


@when("{workspace} looks up {count:d} slots through each instance")
def step_look_up(context, workspace, count):
    context.answers = [
        look_up(context, instance, workspace, number)
        for instance in context.fleet.instances_by_id
        for number in range(count)
    ]


@then("target {name} has received {what} since")
def step_received(context, name, what):
    times = [at for at in context.fleet.ledger(name)["times"] if at > context.since]
    assert bool(times) == (what == "something"), times


@then("every lookup was answered")
def step_answered(context):
    assert [answer.status for answer in context.answers] == [200] * 10


@when("a document that is not valid is published")
def step_invalid(context):
    context.rejected = context.fleet.publish(b'{"plans": 7}')


@then("every instance says what is wrong with it")
def step_problems(context):
    for name in context.fleet.instances_by_id:
        state = context.fleet.dump(name)["configuration"]
        assert state["rejected_version"] == context.rejected, state
        assert any("plans" in problem for problem in state["problems"]), state


@then("{workspace} is still served by each instance")
def step_served(context, workspace):
    for name in context.fleet.instances_by_id:
        answer = look_up(context, name, workspace, 1)
        assert answer.status == 200, answer.data


@when("{workspace} may make {count:d} requests a minute to {service}")
def step_plan(context, workspace, count, service):
    plan = context.fleet.declarations["workspaces"][workspace]["plan"]
    plans = orjson.loads(orjson.dumps(context.fleet.declarations["plans"]))
    plans[plan]["allowances"][service]["requests_per_minute"] = count
    context.fleet.declarations["plans"] = plans
    context.fleet.publish()


@then(
    "at least {count:d} of the lookups were refused with {code} and when to come back"
)
def step_refused_lookups(context, count, code):
    refused = [a for a in context.answers if a.status == 429]
    assert len(refused) >= count, [a.status for a in context.answers]
    for answer in refused:
        assert orjson.loads(answer.data)["error"]["code"] == code
        assert float(answer.headers["Retry-After"]) > 0
