"""Load reports are polled from each target independently of the others."""

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
HEALTHY_TARGETS, HANGING_TARGETS, POLL_SECONDS = 30, 20, 5.0


class LoadReportHandler(BaseHTTPRequestHandler):
    """Answers every request with the same load report."""

    def do_GET(self):  # noqa: N802
        """Answer one request."""
        self.send_response(200)
        self.end_headers()
        self.wfile.write(REPORT)

    def log_message(self, *arguments):
        """Suppress the request log."""


class LargeBacklogServer(ThreadingHTTPServer):
    """HTTP server whose backlog holds all connections that a poller opens at once."""

    request_queue_size = 256


def make_poller(ports):
    """Return a poller with one target per port, and the list of its reports."""
    raw = sample_declarations()
    raw["targets"] = {
        f"t{number}": {
            "service": "bookings",
            "data_centre": "muc-a",
            "url": f"http://127.0.0.1:{port}/{number}",
        }
        for number, port in enumerate(ports)
    }
    reports = []
    host = SimpleNamespace(
        by_pool={"bookings": None},
        observe=lambda pool, report: reports.append(report),
        wants_reports=False,
    )
    store = SimpleNamespace(declarations=Declarations.model_validate(raw))
    return LoadPoller(host, store), reports


def test_hanging_targets_do_not_delay_polls_of_healthy_targets():
    server = LargeBacklogServer(("127.0.0.1", 0), LoadReportHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    hanging_socket = socket.create_server(("127.0.0.1", 0), backlog=256)
    healthy_ports = [server.server_port] * HEALTHY_TARGETS
    without_hanging, reports_without_hanging = make_poller(healthy_ports)
    with_hanging, reports = make_poller(
        healthy_ports + [hanging_socket.getsockname()[1]] * HANGING_TARGETS
    )

    async def poll():
        tasks = [
            asyncio.create_task(poller.run())
            for poller in (without_hanging, with_hanging)
        ]
        await asyncio.sleep(POLL_SECONDS)
        for task in tasks:
            task.cancel()

    asyncio.run(poll())
    assert all(0.0 < report.age < POLL_SECONDS for report in reports)
    count_by_target, count_without_hanging = (
        Counter(r.target for r in s) for s in (reports, reports_without_hanging)
    )
    names = [f"t{number}" for number in range(HEALTHY_TARGETS)]
    # Half is enough because the first polls may wait behind those of hanging targets.
    min_count_without_hanging = min(count_without_hanging[name] for name in names)
    assert min_count_without_hanging > 0
    assert min(count_by_target[name] for name in names) >= min_count_without_hanging / 2
    assert set(count_by_target) == set(names)
    assert with_hanging._slow_polls <= MAX_SLOW_THREADS
    server.shutdown()
    hanging_socket.close()
