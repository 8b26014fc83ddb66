"""A simulated platform store with the declarations and the list of instances."""

import base64
import threading
import time
from collections import Counter
from dataclasses import dataclass, field, replace

import cherrypy
import orjson

MAX_WATCH_SECONDS = 30.0
DOCUMENT_KEY = "almondglade/declarations"
INSTANCES_KEY = "instances/almondglade"


@dataclass(frozen=True)
class StoreContents:
    """Contents of the store at one revision.

    Parameters
    ----------
    era : int or None
        Number of times that the store came back from a copy, which it states in all
        its responses; None if it does not.
    """

    document: bytes = b""
    document_revision: int = 0
    instances: list[dict] = field(default_factory=list)
    instances_revision: int = 1
    other_items_by_key: dict[str, tuple[bytes | None, int]] = field(
        default_factory=dict
    )
    created_by_key: dict[str, int] = field(default_factory=dict)
    history: tuple[dict, ...] = ()
    era: int | None = None

    def change_item(self, key, value, revision):
        """Return the contents after an item was written, or removed (value is None)."""
        if value is None:
            created = {k: v for k, v in self.created_by_key.items() if k != key}
            event = {"key": key, "revision": revision, "deleted": True}
        else:
            created = {key: revision} | self.created_by_key
            event = _make_item(key, value, revision, created[key])
        return replace(
            self,
            other_items_by_key=self.other_items_by_key | {key: (value, revision)},
            created_by_key=created,
            history=(*self.history, event),
        )

    @property
    def revision(self):
        """Revision of the latest change."""
        other_revisions = (revision for _, revision in self.other_items_by_key.values())
        return max(self.document_revision, self.instances_revision, *other_revisions)

    def items(self):
        """Return the contents in the store's item format."""
        items = [(INSTANCES_KEY, orjson.dumps(self.instances), self.instances_revision)]
        if self.document_revision:
            items.append((DOCUMENT_KEY, self.document, self.document_revision))
        items += [
            (key, value, revision)
            for key, (value, revision) in self.other_items_by_key.items()
            if value is not None
        ]
        return [
            _make_item(key, value, revision, self.created_by_key.get(key, 1))
            for key, value, revision in items
        ]

    def changes(self, after):
        """Return what was written after a revision, in the format of watch events."""
        written = [
            item for item in self.items() if item["key"] not in self.other_items_by_key
        ]
        events = [*written, *self.history]
        return sorted(
            (event for event in events if event["revision"] > after),
            key=lambda event: event["revision"],
        )


def _make_item(key, value, revision, created):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "createdAt": created,
        "lease": 0,
    }


@dataclass(frozen=True)
class StoreBehaviour:
    """Behaviour of the store towards all callers or a single one.

    Parameters
    ----------
    down : bool
        Whether every request fails with status 503.
    delay : float
        Seconds that each response is delayed.
    stale : StoreContents or None
        Outdated contents that are served instead of the current ones.
    forgotten : int
        Oldest revision that a watch can still resume after; a watch that asks for
        changes after an older one gets status 410.
    """

    down: bool = False
    delay: float = 0.0
    stale: StoreContents | None = None
    forgotten: int = 0


class PlatformApp:
    """Serves the store's read interface; POST requests to /standin control it.

    A caller that reads below ``/for/NAME`` can be given a behaviour of its own.
    """

    def __init__(self):
        self.revision = 1
        self.contents = StoreContents()
        self.behaviour = StoreBehaviour()
        self.behaviour_by_caller: dict[str, StoreBehaviour] = {}
        self._copy = self.contents
        self.calls_by_caller: Counter = Counter()
        self._changed = threading.Condition()

    @cherrypy.expose
    def default(self, *parts, **query):
        """Handle reads and the control requests of the stand-in."""
        if parts[:1] == ("standin",):
            return self._control(parts[1], query)
        caller = ""
        if parts[:1] == ("for",):
            caller, parts = parts[1], parts[2:]
        self.calls_by_caller[caller] += 1
        time.sleep(self._behaviour(caller).delay)
        with self._changed:
            cherrypy.response.headers["Content-Type"] = "application/json"
            self._state_era(caller)
            match parts:
                case ("api", "kv-key"):
                    return self._read_item(caller, query["key"])
                case ("api", "kv-range"):
                    return self._read_range(caller, query["pathPrefix"])
                case ("api", "kv-watch"):
                    return self._watch(caller, **query)
        raise cherrypy.NotFound()

    def _read_item(self, caller, key):
        self._require_up(caller)
        items = [
            item
            for item in self._visible_contents(caller).items()
            if item["key"] == key
        ]
        if not items:
            cherrypy.response.status = 404
            return b""
        return orjson.dumps(items[0] | {"at": self._visible_contents(caller).revision})

    def _read_range(self, caller, prefix):
        self._require_up(caller)
        contents = self._visible_contents(caller)
        items = [item for item in contents.items() if item["key"].startswith(prefix)]
        return orjson.dumps({"items": items, "hasMore": False, "at": contents.revision})

    def _watch(self, caller, pathPrefix, after, waitMs):  # noqa: N803
        def changes():
            contents = self._visible_contents(caller)
            return [
                event
                for event in contents.changes(int(after))
                if event["key"].startswith(pathPrefix)
            ]

        timeout = min(int(waitMs) / 1000, MAX_WATCH_SECONDS)
        self._require_up(caller)
        self._require_known(caller, int(after))
        era = self._visible_contents(caller).era
        self._changed.wait_for(
            lambda: (
                changes()
                or self._is_down(caller)
                or self._visible_contents(caller).era != era
            ),
            timeout,
        )
        self._state_era(caller)
        self._require_up(caller)
        self._require_known(caller, int(after))
        return orjson.dumps(
            {"events": changes(), "at": self._visible_contents(caller).revision}
        )

    def _state_era(self, caller):
        era = self._visible_contents(caller).era
        if era is not None:
            cherrypy.response.headers["Store-Era"] = str(era)

    def _require_known(self, caller, revision):
        """Reject a watch from a revision that is forgotten or not reached yet."""
        contents = self._visible_contents(caller)
        is_unknown = contents.era is not None and revision > contents.revision
        if is_unknown or revision < self._behaviour(caller).forgotten:
            raise cherrypy.HTTPError(410)

    def _is_down(self, caller):
        return self._behaviour(caller).down

    def _require_up(self, caller):
        if self._is_down(caller):
            raise cherrypy.HTTPError(503)

    def _behaviour(self, caller):
        return self.behaviour_by_caller.get(caller, self.behaviour)

    def _visible_contents(self, caller):
        return self._behaviour(caller).stale or self.contents

    def _control(self, command, query):
        length = int(cherrypy.request.headers.get("Content-Length") or 0)
        body = cherrypy.request.rfile.read(length) if length else b""
        with self._changed:
            self.revision += 1
            match command:
                case "document":
                    self.contents = replace(
                        self.contents, document=body, document_revision=self.revision
                    )
                case "instances":
                    self.contents = replace(
                        self.contents,
                        instances=orjson.loads(body),
                        instances_revision=self.revision,
                    )
                case "item":
                    self.contents = self.contents.change_item(
                        query["key"], body, self.revision
                    )
                case "removal":
                    self.contents = self.contents.change_item(
                        query["key"], None, self.revision
                    )
                case "copy":
                    self._copy = self.contents
                case "restore":
                    era = (self.contents.era or 0) + 1
                    self.contents = replace(self._copy, era=era)
                    self.revision = self.contents.revision
                case "era":
                    self.contents = replace(self.contents, era=int(query["number"]))
                case "state":
                    self._set_behaviour(**orjson.loads(body))
                case "calls":
                    return orjson.dumps(self.calls_by_caller)
                case _:
                    raise cherrypy.NotFound()
            self._changed.notify_all()
        return orjson.dumps({"index": self.revision})

    def _set_behaviour(self, caller=None, stale=False, instances=None, **changes):
        """Change the behaviour, for a single caller if one is named.

        Parameters
        ----------
        stale : bool
            Keep serving the current contents, whatever changes later.
        instances : list of dict or None
            List that is served instead of the stored one.
        """
        if changes.pop("forget", False):
            changes["forgotten"] = self.contents.revision
        current = self._behaviour(caller) if caller else self.behaviour
        contents = self.contents if stale else None
        if instances is not None:
            contents = replace(
                self.contents, instances=instances, instances_revision=self.revision
            )
        behaviour = replace(current, **{"stale": contents} | changes)
        if caller:
            self.behaviour_by_caller[caller] = behaviour
        else:
            self.behaviour, self.behaviour_by_caller = behaviour, {}
