"""Load reports are read from each target on its own."""

import asyncio
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import SimpleNamespace

from almondglade.declarations import Declarations
from almondglade.loads import SLOW_THREADS, LoadPoller
from bench.fleet import sample_declarations

REPORT = b"process_start_time_seconds 1.0\nhttp_requests_in_progress 0\n"
HEALTHY, HANGING, SECONDS = 30, 20, 5.0


class Report(BaseHTTPRequestHandler):
    """Answers every read with the same report."""

    def do_GET(self):  # noqa: N802
        """Answer one read."""
        self.send_response(200)
        self.end_headers()
        self.wfile.write(REPORT)

    def log_message(self, *arguments):
        """Write no log."""


def test_targets_that_hang_delay_no_other():
    server = ThreadingHTTPServer(("127.0.0.1", 0), Report)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    silent = socket.create_server(("127.0.0.1", 0), backlog=256)
    raw = sample_declarations()
    ports = [server.server_port] * HEALTHY + [silent.getsockname()[1]] * HANGING
    raw["targets"] = {
        f"t{number}": {
            "service": "bookings",
            "data_centre": "muc-a",
            "url": f"http://127.0.0.1:{port}/{number}",
        }
        for number, port in enumerate(ports)
    }
    seen = []
    host = SimpleNamespace(
        by_pool={"bookings": None},
        observe=lambda pool, report: seen.append(report),
        wants_reports=False,
    )
    store = SimpleNamespace(declarations=Declarations.model_validate(raw))
    poller = LoadPoller(host, store)

    async def poll():
        task = asyncio.create_task(poller.run())
        await asyncio.sleep(SECONDS)
        task.cancel()

    asyncio.run(poll())
    reads = {f"t{n}": 0 for n in range(HEALTHY + HANGING)}
    for report in seen:
        reads[report.target] += 1
        assert 0.0 < report.age < SECONDS
    # The least allows for a first round that waits behind those that hang.
    assert min(reads[f"t{n}"] for n in range(HEALTHY)) >= 2
    assert sum(reads[f"t{n}"] for n in range(HEALTHY, HEALTHY + HANGING)) == 0
    assert poller._slow <= SLOW_THREADS
    server.shutdown()
    silent.close()
