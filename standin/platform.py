"""The platform's store, with the declared document and the list of instances."""

import base64
import threading
import time
from collections import Counter
from dataclasses import dataclass, field, replace

import cherrypy
import orjson

MAX_WAIT_SECONDS = 30.0
DOCUMENT_KEY = "almondglade/declarations"
INSTANCES_KEY = "instances/almondglade"


@dataclass(frozen=True)
class Published:
    """What the platform holds."""

    document: bytes = b""
    document_index: int = 0
    services: list[dict] = field(default_factory=list)
    services_index: int = 1
    other_by_key: dict[str, tuple[bytes | None, int]] = field(default_factory=dict)

    @property
    def revision(self):
        """Revision of the newest change."""
        others = (revision for _, revision in self.other_by_key.values())
        return max(self.document_index, self.services_index, *others)

    def items(self):
        """Return what is published as the store's items."""
        published = [(INSTANCES_KEY, orjson.dumps(self.services), self.services_index)]
        if self.document_index:
            published.append((DOCUMENT_KEY, self.document, self.document_index))
        published += [
            (key, value, revision)
            for key, (value, revision) in self.other_by_key.items()
            if value is not None
        ]
        return [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": revision,
                "createdAt": 1,
                "lease": 0,
            }
            for key, value, revision in published
        ]

    def removals(self):
        """Return the items that were removed, as a watch tells of them."""
        return [
            {"key": key, "revision": revision, "deleted": True}
            for key, (value, revision) in self.other_by_key.items()
            if value is None
        ]


@dataclass(frozen=True)
class State:
    """How the platform behaves, to all callers or to one.

    Parameters
    ----------
    down : bool
        Whether it answers with errors.
    delay : float
        Seconds by which each answer is late.
    stale : Published or None
        What is served in place of the present.
    forgotten : int
        Revision before which changes are no longer known.
    """

    down: bool = False
    delay: float = 0.0
    stale: Published | None = None
    forgotten: int = 0


class PlatformApp:
    """Serves the store's read interface; a POST under /standin changes it.

    A caller that reads below ``/for/NAME`` can be treated apart.
    """

    def __init__(self):
        self.index = 1
        self.published = Published()
        self.state = State()
        self.state_by_caller: dict[str, State] = {}
        self.calls_by_caller: Counter = Counter()
        self._changed = threading.Condition()

    @cherrypy.expose
    def default(self, *parts, **query):
        """Answer reads and the controls of the stand-in."""
        if parts[:1] == ("standin",):
            return self._control(parts[1], query)
        caller = ""
        if parts[:1] == ("for",):
            caller, parts = parts[1], parts[2:]
        self.calls_by_caller[caller] += 1
        time.sleep(self._state(caller).delay)
        with self._changed:
            cherrypy.response.headers["Content-Type"] = "application/json"
            match parts:
                case ("api", "kv-key"):
                    return self._read_item(caller, query["key"])
                case ("api", "kv-range"):
                    return self._read_range(caller, query["pathPrefix"])
                case ("api", "kv-watch"):
                    return self._watch(caller, **query)
        raise cherrypy.NotFound()

    def _read_item(self, caller, key):
        self._check_up(caller)
        items = [item for item in self._seen(caller).items() if item["key"] == key]
        if not items:
            cherrypy.response.status = 404
            return b""
        return orjson.dumps(items[0] | {"at": self._seen(caller).revision})

    def _read_range(self, caller, prefix):
        self._check_up(caller)
        seen = self._seen(caller)
        items = [item for item in seen.items() if item["key"].startswith(prefix)]
        return orjson.dumps({"items": items, "hasMore": False, "at": seen.revision})

    def _watch(self, caller, pathPrefix, after, waitMs):  # noqa: N803
        def changes():
            seen = self._seen(caller)
            return [
                item
                for item in seen.items() + seen.removals()
                if item["key"].startswith(pathPrefix) and item["revision"] > int(after)
            ]

        seconds = min(int(waitMs) / 1000, MAX_WAIT_SECONDS)
        self._check_up(caller)
        self._changed.wait_for(lambda: changes() or self._is_down(caller), seconds)
        self._check_up(caller)
        if int(after) < self._state(caller).forgotten:
            raise cherrypy.HTTPError(410)
        return orjson.dumps({"events": changes(), "at": self._seen(caller).revision})

    def _is_down(self, caller):
        return self._state(caller).down

    def _check_up(self, caller):
        if self._is_down(caller):
            raise cherrypy.HTTPError(503)

    def _state(self, caller):
        return self.state_by_caller.get(caller, self.state)

    def _seen(self, caller):
        return self._state(caller).stale or self.published

    def _control(self, what, query):
        length = int(cherrypy.request.headers.get("Content-Length") or 0)
        body = cherrypy.request.rfile.read(length) if length else b""
        with self._changed:
            self.index += 1
            match what:
                case "document":
                    self.published = replace(
                        self.published, document=body, document_index=self.index
                    )
                case "instances":
                    self.published = replace(
                        self.published,
                        services=orjson.loads(body),
                        services_index=self.index,
                    )
                case "item":
                    self.published = replace(
                        self.published,
                        other_by_key=self.published.other_by_key
                        | {query["key"]: (body, self.index)},
                    )
                case "removal":
                    self.published = replace(
                        self.published,
                        other_by_key=self.published.other_by_key
                        | {query["key"]: (None, self.index)},
                    )
                case "state":
                    self._set_state(**orjson.loads(body))
                case "calls":
                    return orjson.dumps(self.calls_by_caller)
                case _:
                    raise cherrypy.NotFound()
            self._changed.notify_all()
        return orjson.dumps({"index": self.index})

    def _set_state(self, caller=None, stale=False, instances=None, **changes):
        """Change the behaviour, to one caller if it is named.

        Parameters
        ----------
        stale : bool
            Serve what is published now for good.
        instances : list of dict or None
            List that is served in place of the published one.
        """
        if changes.pop("forget", False):
            changes["forgotten"] = self.published.revision
        former = self._state(caller) if caller else self.state
        seen = self.published if stale else None
        if instances is not None:
            seen = replace(
                self.published, services=instances, services_index=self.index
            )
        state = replace(former, **{"stale": seen} | changes)
        if caller:
            self.state_by_caller[caller] = state
        else:
            self.state, self.state_by_caller = state, {}
