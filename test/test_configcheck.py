"""Tests of the check of a platform's configuration."""

import base64
import copy
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from almondglade.configcheck.findings import check_entry
from almondglade.ui.main import main

KEYS = ["first-key-of-oak", "second-key-of-oak"]
VALID = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": "a.example",
            "pathPrefix": "/chat/",
            "routeType": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 600,
            "gapTargetMs": 300,
            "trafficSplit": [
                {"service": "large", "weight": 90},
                {"service": "small", "weight": 10},
            ],
            "maxAttempts": 2,
            "streamResume": True,
        },
        {
            "name": "look-up",
            "host": "a.example",
            "pathPrefix": "/look-up/",
            "routeType": "idempotent",
            "service": "small",
            "maxAttempts": 2,
        },
    ],
    "services": [{"name": "large", "engine": {"stride": 6}}, {"name": "small"}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "oak",
            "apiKeys": KEYS,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 1000,
            "burst": 1000,
        },
        {"name": "elm", "apiKeys": ["key-of-elm"]},
    ],
}
ROUTE, SPLIT = "routes.0", "routes.0.trafficSplit"
ALL_PUBLIC = {"routes.0.publicAccess": True, "routes.1.publicAccess": True}
ONE_ATTEMPT = {"routes.0.maxAttempts": 1, "routes.1.maxAttempts": 1}

ERRORS = [
    ({"version": None}, "version: Input should be a valid integer"),
    ({"version": "7"}, "version: Input should be a valid integer"),
    ({"version": -1}, "version: Input should be greater than or equal to 1"),
    ({"routes": {}}, "routes: Input should be a valid list"),
    ({"routes.1": 3}, "routes[1]: must be an object"),
    ({"routes.0.host": ...}, "routes[0].host: Field required"),
    ({"routes.0.timeoutMs": 0}, "routes[0].timeoutMs: Input should be greater than 0"),
    ({"routes.0.timeoutMs": 1e12}, "routes[0].timeoutMs: Input should be less than"),
    ({"routes.0.timeoutMs": "5"}, "routes[0].timeoutMs: Input should be a valid num"),
    ({"routes.0.priority": -1}, "routes[0].priority: Input should be greater"),
    ({"routes.0.maxAttempts": 0}, "routes[0].maxAttempts: Input should be greater"),
    ({f"{SPLIT}.1.weight": -1}, "routes[0].trafficSplit[1].weight: Input should be"),
    ({"services.0.maxConnections": 0}, "services[0].maxConnections: Input should be"),
    ({"services.0.engine.stride": 0}, "services[0].engine.stride: Input should be"),
    ({"limits.idleTimeoutMs": -1}, "limits.idleTimeoutMs: Input should be greater"),
    ({"tenants.0.burst": -1}, "tenants[0].burst: Input should be greater"),
    ({"tenants.0.apiKeys": KEYS[0]}, "tenants[0].apiKeys: Input should be a valid"),
    ({"tenants.0.apiKeys.1": "a b"}, "tenants[0].apiKeys[1]: String should match"),
    ({"routes.1.service": ...}, "routes[1]: the route leads to no service"),
    ({"routes.1.service": "x"}, "routes[1].service: the service 'x' is not declared"),
    ({f"{SPLIT}.1.service": "x"}, "routes[0].trafficSplit[1].service: the service 'x'"),
    (
        {f"{SPLIT}.1.service": "large"},
        "routes[0].trafficSplit[1].service: the service 'large' stands already at"
        " routes[0].trafficSplit[0]",
    ),
    ({"routes.1.name": "chat"}, "routes[1].name: the route 'chat' stands already at"),
    ({"services.2": {"name": "large"}}, "services[2].name: the service 'large' st"),
    ({"tenants.1.name": "oak"}, "tenants[1].name: the workspace 'oak' stands already"),
    (
        {"tenants.1.apiKeys": [KEYS[1]]},
        "tenants[1].apiKeys[0]: the key {} stands already at tenants[0].apiKeys[1]",
    ),
    (
        {"tenants.0.apiKeys": [KEYS[1], KEYS[1]]},
        "tenants[0].apiKeys[1]: the key {} stands already at tenants[0].apiKeys[0]",
    ),
]
WARNINGS = [
    (
        {"routes.1.pathPrefix": "/chat/", "routes.1.host": "A.example"},
        "routes[0]: is hidden by the same host and path prefix at routes[1]",
    ),
    ({"routes.0.pathPrefix": "/chat"}, "routes[0].pathPrefix: matches no request"),
    ({"routes.0.pathPrefix": "chat/"}, "routes[0].pathPrefix: matches no request"),
    (
        {"routes.1.routeType": "idem", "routes.1.maxAttempts": 1},
        "routes[1].routeType: is no known type",
    ),
    (
        {"routes.1.trafficSplit": [{"service": "small", "weight": 1}]},
        "routes[1].trafficSplit: has no effect beside a single service",
    ),
    ({f"{SPLIT}.1.weight": 0}, "routes[0].trafficSplit[1].weight: the service 'small'"),
    (
        {f"{SPLIT}.0.weight": 0, f"{SPLIT}.1.weight": 0},
        "routes[0]: all shares of the split have weight 0",
    ),
    ({"services.2": {"name": "idle"}}, "services[2]: no route leads to the service"),
    ({"tenants.1.apiKeys": []}, "tenants[1]: the workspace 'elm' has no key"),
    (ALL_PUBLIC, "tenants[0]: no route needs a key, 3 declared"),
    ({"routes.0.timeoutMs": 500}, "routes[0].timeoutMs: 0.5 s is below the latency"),
    ({"routes.0.gapTargetMs": 6000}, "routes[0].gapTargetMs: 6 s is above the timeout"),
    ({"routes.0.streamResume": False}, "routes[0].maxAttempts: 2 attempts on a route"),
    ({"tenants.0.burst": 100}, "tenants[0].burst: 100 tokens are below one request"),
    (
        {"tenants.1.ratePerS": 5, "tenants.1.burst": 0.5},
        "tenants[1].burst: 0.5 requests are below one request (1)",
    ),
    ({"tenants.0.burst": 0}, "tenants[0].ratePerS: a rate of 1000 tokens/s has no"),
    ({"tenants.0.ratePerS": 0}, "tenants[0].burst: has no effect without a rate"),
    ({"limits.headerTimeoutMs": 20000}, "limits.headerTimeoutMs: 20 s is above the"),
    ({"limits.maxBodyBytes": 1000}, "limits.maxHeaderBytes: 16384 bytes are above"),
]


def changed(changes):
    """Return the valid configuration with some fields set, or left out if `...`."""
    document = copy.deepcopy(VALID)
    for path, value in changes.items():
        *parents, last = (int(p) if p.isdigit() else p for p in path.split("."))
        entry = document
        for part in parents:
            entry = entry[part]
        if value is ...:
            del entry[last]
        elif last == len(entry):
            entry.append(value)
        else:
            entry[last] = value
    return document


@pytest.fixture
def check(capsys, tmp_path):
    def run(content, *flags):
        file = tmp_path / "new.json"
        if isinstance(content, dict):
            content = json.dumps(changed(content)).encode()
        file.write_bytes(content)
        with pytest.raises(SystemExit) as caught:
            main(["check", str(file), *flags])
        output = capsys.readouterr()
        assert "Traceback" not in output.err
        assert not any(key in output.out for key in (*KEYS, "key-of-elm"))
        return caught.value.code or 0, output.out

    return run


@pytest.fixture
def in_force(tmp_path):
    file = tmp_path / "in-force.json"
    file.write_text(json.dumps(VALID))
    return str(file)


def findings_of(output, severity):
    return [line for line in output.splitlines() if line.startswith(f"{severity}: ")]


def test_a_valid_configuration_has_no_findings(check):
    code, output = check({}, "--strict", "--retry-share", "0.2", "--hedge-share", "0.1")
    assert code == 0
    assert output.endswith("new.json: valid (0 errors, 0 warnings)\n")


@pytest.mark.parametrize(("changes", "expected"), ERRORS)
def test_an_error_is_named_with_its_place(check, changes, expected):
    code, output = check(changes)
    before, _, after = expected.partition("{}")
    (line,) = findings_of(output, "error")
    assert code == 2
    assert line.startswith(f"error: {before}") and after in line


@pytest.mark.parametrize(("changes", "expected"), WARNINGS)
def test_a_warning_is_named_with_its_place(check, changes, expected):
    code, output = check(changes)
    (line,) = findings_of(output, "warning")
    assert line.startswith(f"warning: {expected}")
    assert code == 0
    assert check(changes, "--strict")[0] == 1


@pytest.mark.parametrize(
    ("changes", "flag", "expected"),
    [
        (ONE_ATTEMPT, "--retry-share", "routes: no route may use the retry budget"),
        (ONE_ATTEMPT, "--hedge-share", "routes: no route may use the hedge share"),
        (
            {"routes.1.maxAttempts": 1},
            "--hedge-share",
            "routes: no route may use the hedge share",
        ),
    ],
)
def test_a_share_that_no_route_can_use_is_warned_of(check, changes, flag, expected):
    assert check(changes, "--strict")[0] == 0
    code, output = check(changes, "--strict", flag, "0.1")
    assert code == 1
    assert findings_of(output, "warning")[0].startswith(f"warning: {expected}")
    assert check(changes, flag, "1.5")[0] == 2


@pytest.mark.parametrize("version", [6, 7])
def test_a_version_that_is_not_higher_is_an_error(check, in_force, version):
    code, output = check({"version": version}, "--against", in_force)
    assert code == 2
    assert f"error: version: {version} would not come into force, as 7" in output


def test_differences_are_printed_as_a_table_without_keys(check, in_force):
    code, output = check(
        {
            "version": 8,
            "routes.0.timeoutMs": 4000,
            "routes.1.name": "find",
            "services.2": {"name": "spare\x1b[2J"},
            "limits.maxBodyBytes": 1 << 20,
            "tenants.0.apiKeys.1": "third-key-of-oak",
        },
        "--against",
        in_force,
    )
    rows = [line.split() for line in output.splitlines()]
    assert code == 0
    assert "\x1b" not in output and "third-key-of-oak" not in output
    assert ["routes.chat.timeout", "5.0", "4.0"] in rows
    assert ["limits.max_body_bytes", "4194304", "1048576"] in rows
    assert ["version", "7", "8"] in rows
    names = [row[0] for row in rows]
    assert {"routes.look-up", "routes.find", r"services.spare\x1b[2J"} <= set(names)
    assert sum(name.startswith("workspaces.oak.keys.") for name in names) == 2


def test_the_report_as_json(check, in_force):
    code, output = check(
        {"version": 8, "routes.0.timeoutMs": 500}, "--against", in_force, "--json"
    )
    report = json.loads(output)
    assert code == 0
    assert report["valid"] and not report["errors"]
    assert [finding["place"] for finding in report["warnings"]] == [
        "routes[0].timeoutMs"
    ]
    assert {"path": "version", "before": 7, "after": 8} in report["changes"]
    assert json.loads(check(b'{"routes":[]}', "--json")[1])["changes"] is None


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[]",
        b'{"routes": ',
        b'{"routes": \xff}',
        b'{"routes": ' + b"[" * 100_000,
        b'{"routes": ' + b"[" * 1000 + b"]" * 1000 + b"}",
        b'{"routes": [], "version": ' + b"9" * 10_000 + b"}",
        b'{"routes": [], "version": 1, "version": 2}',
        b'{"routes": [], "version": 1e999}',
        b'{"routes": [NaN], "version": 1}',
        b'{"routes": "\\ud800", "version": 1}',
        b'{"routes": [], "version": 1}' + b" " * (1 << 22),
        b'{"version": 1, "routes": [' + b"1," * 1_000_000 + b"1]}",
    ],
    ids=range(13),
)
@pytest.mark.parametrize("flags", [(), ("--kind", "configuration")])
def test_a_hostile_file_is_invalid(check, content, flags):
    assert check(content, *flags)[0] == 2


def test_a_file_in_force_that_cannot_be_read_is_an_error(check):
    code, output = check({}, "--against", "no-such-file")
    assert code == 2
    assert "error: no-such-file: cannot be read" in output


def test_of_many_findings_the_first_are_shown(check):
    code, output = check({"routes": [1] * 150})
    assert code == 2
    assert len(findings_of(output, "error")) == 100
    assert "and 50 more (--json shows all)" in output


def test_a_field_of_unknown_name_that_stands_twice_is_not_named(check):
    content = json.dumps({**VALID, KEYS[0]: [{"a": 1}]}).replace(
        '"a": 1', '"a":1,"a":2'
    )
    code, output = check(content.encode())
    assert code == 2
    assert "error: ?[0]: a field stands twice in this object" in output


def test_an_unknown_kind_of_entry_has_no_check():
    with pytest.raises(TypeError):
        check_entry(object(), None)


def test_the_version_in_force_is_read_from_the_store(check):
    value = base64.b64encode(json.dumps(VALID).encode()).decode()
    items = [{"key": "op/config", "value": value, "revision": 3, "at": 4}, None]

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):
            item = items.pop(0) if "key=op%2Fconfig" in self.path else None
            self.send_response(200 if item else 404)
            self.send_header("Store-Era", "1")
            self.end_headers()
            self.wfile.write(json.dumps(item).encode())

        def log_message(self, *_):
            """Log nothing."""

    with ThreadingHTTPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        url = f"http://127.0.0.1:{server.server_port}"
        code, output = check({"version": 8}, "--against", url, "--json")
        missing = check({"version": 8}, "--against", url)
        server.shutdown()
    assert code == 0
    assert json.loads(output)["changes"] == [
        {"path": "version", "before": 7, "after": 8}
    ]
    assert missing[0] == 2 and "the store has no configuration" in missing[1]
    assert check({"version": 8}, "--against", url)[0] == 2
