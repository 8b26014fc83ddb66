"""Issue idempotency keys, and set the outcome of refused requests with a key."""

import contextlib
import dataclasses

import orjson

from ..kinds import IDEMPOTENT_METHODS
from ..outcome import Code, Outcome, RequestError

MAX_KEYS_BODY_BYTES = 1024
KEY_HEADER = "idempotency-key"
KEYS_PATH = "/v1/keys"
KEYS_HEADERS = (("Content-Type", "application/json"), ("Cache-Control", "no-store"))


def issue_keys(keyed_scheduler, workspace, method, body):
    """Handle ``POST /v1/keys``.

    Parameters
    ----------
    keyed_scheduler : KeyedScheduler
        Issues the keys.
    workspace : str
        Workspace that the keys are issued to.
    method : str
        Method of the request.
    body : bytes
        Empty, or a JSON object with a count.

    Raises
    ------
    RequestError
        If the method or the body is invalid.
    """
    if method != "POST":
        raise RequestError(Code.NOT_FOUND, "keys are issued by POST")
    return orjson.dumps(
        {"keys": keyed_scheduler.issue(workspace, _requested_count(body))}
    )


def _requested_count(body):
    if not body:
        return 1
    try:
        return orjson.loads(body).get("count", 1)
    except (ValueError, AttributeError) as error:
        raise RequestError(Code.BAD_REQUEST, "body is not a JSON object") from error


@contextlib.contextmanager
def unknown_outcome_if_keyed(method, key):
    """Set the outcome of refusals before a request's key is looked up to unknown.

    An earlier request with the same key may have run, which this instance has not
    checked yet. The outcome "not run" would make the caller retry with another key.
    Requests without a key or with an idempotent method keep their outcome.
    """
    try:
        yield
    except RequestError as error:
        if key is None or method in IDEMPOTENT_METHODS:
            raise
        raise dataclasses.replace(error, outcome=Outcome.UNKNOWN) from error
