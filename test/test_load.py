"""The open-loop load generator and the command that runs it."""

import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import orjson
import pytest

from almondglade.ui.main import main
from standin.load import Stream, plan_arrivals

SEED = 3


class AlternatingHandler(BaseHTTPRequestHandler):
    """Serves requests and refuses every second one."""

    protocol_version = "HTTP/1.1"
    seen_methods: list[str] = []

    def do_POST(self):  # noqa: D102, N802
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.seen_methods.append(self.command)
        status = 200 if len(self.seen_methods) % 2 else 503
        body = b"{}" if status == 200 else b'{"error": {"code": "overloaded"}}'
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST  # noqa: N815

    def log_message(self, *_):  # noqa: D102
        pass


@pytest.fixture
def url():
    AlternatingHandler.seen_methods = []
    server = ThreadingHTTPServer(("127.0.0.1", 0), AlternatingHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()


def test_planned_arrivals_depend_on_the_seed_and_keep_rate_period_and_lengths():
    stream = Stream("a", "key", 0, 100.0, "m", start=2.0, stop=8.0)
    arrivals = plan_arrivals([stream], 10.0, SEED)
    assert arrivals == plan_arrivals([stream], 10.0, SEED)
    assert arrivals != plan_arrivals([stream], 10.0, SEED + 1)
    tokens = [arrival.tokens for arrival in arrivals]
    assert 4 <= min(tokens) < 8 and 200 < max(tokens) <= 400
    assert 2.0 <= arrivals[0].at and arrivals[-1].at < 8.0
    assert 450 < len(arrivals) < 750


def run(*arguments):
    with pytest.raises(SystemExit) as caught:
        main(["load", *arguments])
    return caught.value.code


def test_the_command_reports_by_tier_and_writes_json_and_a_plot(url, tmp_path, capsys):
    figures, image = tmp_path / "figures.json", tmp_path / "plot.png"
    assert not run(
        *(url, "--caller", "a:0:key-a", "b:2:key-b", "--plain-path", "/x"),
        *("--plain-rate", "20", "--seconds", "1"),
        *("--output", str(figures), "--plot", str(image)),
    )
    report = orjson.loads(figures.read_bytes())
    asked = sum(report["asked_by_tier"].values())
    assert asked == len(AlternatingHandler.seen_methods)
    assert set(AlternatingHandler.seen_methods) == {"GET", "POST"}
    assert report["codes"] == {"overloaded": asked // 2}
    assert "tier  asked  good  goodput" in capsys.readouterr().out
    assert image.stat().st_size > 0


@pytest.mark.parametrize("caller", ["a", "a:b:c", ":0:key", "a:0:"])
def test_a_malformed_caller_option_is_rejected(caller, capsys):
    assert run("http://127.0.0.1:1", "--caller", caller) == 1
    assert "workspace:tier:key" in capsys.readouterr().err
