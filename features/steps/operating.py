"""Steps for changes by operators."""

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


@when("data centre {name} is taken out of service")
def step_out(context, name):
    set_data_centre_state(context, name, "out")


@when("data centre {name} is put back into service")
def step_back(context, name):
    set_data_centre_state(context, name, "in")


def set_data_centre_state(context, name, state):
    context.fleet.declarations["data_centres"][name]["state"] = state
    context.fleet.publish()


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    time.sleep(seconds)
    context.since = time.time()


@when("{workspace} looks up {count:d} slots through each instance")
def step_look_up(context, workspace, count):
    context.responses = [
        look_up(context, instance, workspace, number)
        for instance in context.fleet.instances_by_id
        for number in range(count)
    ]


@then("target {name} has received {amount} requests since")
def step_received(context, name, amount):
    times = [at for at in context.fleet.ledger(name)["times"] if at > context.since]
    assert bool(times) == (amount == "some"), times


@then("every lookup was answered")
def step_answered(context):
    assert [response.status for response in context.responses] == [200] * 10


@when("an invalid document is published")
def step_invalid(context):
    context.rejected = context.fleet.publish(b'{"plans": 7}')


@then("every instance reports its problems")
def step_problems(context):
    for name in context.fleet.instances_by_id:
        state = context.fleet.dump(name)["configuration"]
        assert state["rejected_version"] == context.rejected, state
        assert any("plans" in problem for problem in state["problems"]), state


@then("{workspace} is still served by each instance")
def step_served(context, workspace):
    for name in context.fleet.instances_by_id:
        response = look_up(context, name, workspace, 1)
        assert response.status == 200, response.data


@when("{workspace} may make {count:d} requests a minute to {service}")
def step_plan(context, workspace, count, service):
    plan = context.fleet.declarations["workspaces"][workspace]["plan"]
    plans = orjson.loads(orjson.dumps(context.fleet.declarations["plans"]))
    plans[plan]["allowances"][service]["requests_per_minute"] = count
    context.fleet.declarations["plans"] = plans
    context.fleet.publish()


@then("at least {count:d} of the lookups were refused with {code} and a retry time")
def step_refused_lookups(context, count, code):
    refused = [a for a in context.responses if a.status == 429]
    assert len(refused) >= count, [a.status for a in context.responses]
    for response in refused:
        assert orjson.loads(response.data)["error"]["code"] == code
        assert float(response.headers["Retry-After"]) > 0
