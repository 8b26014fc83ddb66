"""Issue idempotency keys to callers, and word refusals of keyed requests."""

import contextlib
import dataclasses

import cherrypy
import orjson

from ..kinds import IDEMPOTENT_METHODS
from ..outcome import Code, Outcome, RequestError

MAX_BODY_BYTES = 1024
KEY_HEADER = "Idempotency-Key"


def issue_keys(keyed, workspace):
    """Answer ``POST /v1/keys``.

    Raises
    ------
    RequestError
        If the method or the body is not usable.
    """
    http = cherrypy.request
    if http.method != "POST":
        raise RequestError(Code.NOT_FOUND, "keys are issued by POST")
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers["Cache-Control"] = "no-store"
    return orjson.dumps({"keys": keyed.issue(workspace, _count(http))})


def _count(http):
    try:
        length = int(http.headers.get("Content-Length") or 0)
        if not length:
            return 1
        if not 0 < length <= MAX_BODY_BYTES:
            raise RequestError(Code.BODY_TOO_LARGE, "a count is a few bytes")
        return orjson.loads(http.rfile.read(length)).get("count", 1)
    except (ValueError, AttributeError) as error:
        raise RequestError(Code.BAD_REQUEST, "body is not a JSON object") from error


@contextlib.contextmanager
def before_lookup():
    """Word refusals that come before a request's key is looked up.

    An earlier send under the same key may have run, which this instance has
    not asked about; "not run" would lead the caller to take another key.
    """
    try:
        yield
    except RequestError as error:
        http = cherrypy.request
        if KEY_HEADER not in http.headers or http.method in IDEMPOTENT_METHODS:
            raise
        raise dataclasses.replace(error, outcome=Outcome.UNKNOWN) from error
