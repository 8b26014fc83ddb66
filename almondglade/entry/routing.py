"""Route requests to services."""

from dataclasses import dataclass

import orjson

from ..outcome import Code, RequestError

COMPLETION_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
MODELS_PATH = "/v1/models"
MAX_MODEL_NAME_CHARACTERS = 64


@dataclass(frozen=True)
class Route:
    """Service and path that a request is routed to.

    Parameters
    ----------
    service : str or None
        Name of the service; None if the model in the body selects it.
    path : str
        Path at the target.
    max_body_bytes : int
        Longest allowed body (bytes).
    """

    service: str | None
    path: str
    max_body_bytes: int


def find_route(services, method, path):
    """Return the route for a path; the body is not needed yet.

    Raises
    ------
    RequestError
        If no service has this path or the method is not allowed.
    """
    if path in COMPLETION_PATHS:
        if method != "POST":
            raise RequestError(Code.METHOD_NOT_ALLOWED, f"{path} takes POST only")
        limits = (s.max_body_bytes for s in services.values() if s.models)
        return Route(None, path, max(limits, default=0))
    name, slash, rest = path.removeprefix("/").partition("/")
    service = services.get(name)
    if service is None or service.models:
        raise RequestError(Code.NOT_FOUND, f"no service at {path}")
    return Route(name, slash + rest or "/", service.max_body_bytes)


def service_of_model(services, body):
    """Return the name of the service that serves the model in a body.

    Raises
    ------
    RequestError
        If the body is invalid, too large or names no declared model.
    """
    try:
        model = orjson.loads(body).get("model")
    except (orjson.JSONDecodeError, AttributeError) as error:
        raise RequestError(Code.BAD_REQUEST, "body is not a JSON object") from error
    for name, service in services.items():
        if model in service.models:
            if len(body) > service.max_body_bytes:
                raise RequestError(
                    Code.BODY_TOO_LARGE,
                    f"the limit is {service.max_body_bytes} bytes",
                )
            return name
    shown = model if isinstance(model, str) else "of another type"
    raise RequestError(
        Code.NOT_FOUND, f"no model {shown[:MAX_MODEL_NAME_CHARACTERS]!r}"
    )


def models_document(services):
    """Return the declared models as JSON in the format of OpenAI's model list."""
    names = (model for service in services.values() for model in service.models)
    return orjson.dumps(
        {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "created": 0, "owned_by": "almondglade"}
                for name in sorted(names)
            ],
        }
    )
