"""Load reports are read from each target on its own."""

import asyncio
import socket
import threading
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import SimpleNamespace

from almondglade.declarations import Declarations
from almondglade.loads import MAX_SLOW_THREADS, LoadPoller
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


class HealthyServer(ThreadingHTTPServer):
    """Takes all connections that a poller opens at once."""

    request_queue_size = 256


def poller_of(ports):
    """Return a poller of one target for each port, and where its reports go."""
    raw = sample_declarations()
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
    return LoadPoller(host, store), seen


def test_targets_that_hang_delay_no_other():
    server = HealthyServer(("127.0.0.1", 0), Report)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    silent = socket.create_server(("127.0.0.1", 0), backlog=256)
    healthy = [server.server_port] * HEALTHY
    alone, seen_alone = poller_of(healthy)
    mixed, seen = poller_of(healthy + [silent.getsockname()[1]] * HANGING)

    async def poll():
        tasks = [asyncio.create_task(poller.run()) for poller in (alone, mixed)]
        await asyncio.sleep(SECONDS)
        for task in tasks:
            task.cancel()

    asyncio.run(poll())
    assert all(0.0 < report.age < SECONDS for report in seen)
    reads, reads_alone = (Counter(r.target for r in s) for s in (seen, seen_alone))
    names = [f"t{number}" for number in range(HEALTHY)]
    # The half allows for a first round that waits behind those that hang.
    least_alone = min(reads_alone[name] for name in names)
    assert least_alone > 0
    assert min(reads[name] for name in names) >= least_alone / 2
    assert set(reads) == set(names)
    assert mixed._slow_polls <= MAX_SLOW_THREADS
    server.shutdown()
    silent.close()
