"""Steps for idempotency keys."""

import orjson
from behave import then, when


def _post(context, workspace, number, path, body, headers=()):
    return context.fleet.http.request(
        "POST",
        context.fleet.instances_by_id[f"e{number}"].url + path,
        body=body,
        headers={"Authorization": f"Bearer key-{workspace}", **dict(headers)},
    )


def _book(context, workspace, reel, number):
    headers = {"Idempotency-Key": context.key}
    body = f"reel {reel}"
    context.response = _post(
        context, workspace, number, "/bookings/reels", body, headers
    )


@when(
    "{workspace} books reel {reel:d} through instance {number:d} with a key issued by "
    "instance {issuer:d}"
)
def step_book(context, workspace, reel, number, issuer):
    response = _post(context, workspace, issuer, "/v1/keys", b"")
    context.key = orjson.loads(response.data)["keys"][0]
    _book(context, workspace, reel, number)
    assert context.response.status == 200


@when("{workspace} books reel {reel:d} again through instance {number:d}")
def step_book_again(context, workspace, reel, number):
    _book(context, workspace, reel, number)


@then("the response is replayed and reel {reel:d} was booked once")
def step_replayed(context, reel):
    assert context.response.headers["Idempotency-Replayed"] == "true"
    assert _runs(context, reel) == 1


@then("the response is the error {code} and reel {reel:d} was booked once")
def step_error(context, code, reel):
    assert orjson.loads(context.response.data)["error"]["code"] == code
    assert _runs(context, reel) == 1


def _runs(context, reel):
    run = f"POST /reels reel {reel}"
    return sum(context.fleet.ledger(b)["runs"].get(run, 0) for b in ("b1", "b2"))
