"""Measure the overhead of relaying many concurrent streams through one instance.

The gaps between tokens are measured in the same run with the same client, first
directly at the targets, then through the instance.
"""

import json
import os
import selectors
import socket
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import defopt
import numpy as np
import orjson

from .fleet import LOOPBACK, Fleet, sample_declarations

ENGINES = 5
STEP_SECONDS = 0.065
WARM_UP_SECONDS = 3.0
TIMEOUT_SECONDS = 60.0
TOKEN_MARK = b'"delta"'
END_MARK = b"data: [DONE]"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class StreamsReport:
    """Figures of one round; times in seconds.

    Parameters
    ----------
    whole : int
        Streams that were received completely, up to the final event.
    cpu_per_chunk : float
        CPU time of the instance per token; 0 when measured directly at the targets.
    """

    streams: int
    whole: int
    tokens: int
    gap_p50: float
    gap_p95: float
    gap_p99: float
    cpu_per_chunk: float = 0.0


class Reader:
    """Client of one stream of a round, on a non-blocking socket.

    Parameters
    ----------
    port : int
        Port to send the request to.
    tokens : int
        Number of tokens to request.
    """

    def __init__(self, port, tokens):
        self.times = []
        self.tail = b""
        self.whole = False
        self.sock = socket.create_connection((LOOPBACK, port))
        self.sock.sendall(request(tokens))
        self.sock.setblocking(False)

    def read(self, now):
        """Read available data and record token times; return whether to read on."""
        data = self.tail + self.sock.recv(1 << 16)
        count = data.count(TOKEN_MARK)
        self.times.extend([now] * count)
        self.whole = self.whole or END_MARK in data
        keep = max(len(TOKEN_MARK), len(END_MARK)) - 1
        cut = max(data.rfind(TOKEN_MARK) + len(TOKEN_MARK), len(data) - keep)
        more = len(data) > len(self.tail) and not self.whole
        self.tail = data[cut:] if count else data[-keep:]
        return more


def request(tokens):
    """Return the bytes of a request for a stream of tokens."""
    body = orjson.dumps(
        {
            "model": "script-7b",
            "messages": [{"role": "user", "content": "a brief"}],
            "max_tokens": tokens,
            "stream": True,
        }
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        "Authorization: Bearer key-partner-a\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def read_streams(ports, streams, tokens):
    """Run a round; return its readers and its start on the monotonic clock."""
    selector = selectors.DefaultSelector()
    started = time.monotonic()
    readers = [Reader(ports[n % len(ports)], tokens) for n in range(streams)]
    for reader in readers:
        selector.register(reader.sock, selectors.EVENT_READ, reader)
    while selector.get_map() and time.monotonic() - started < TIMEOUT_SECONDS:
        for key, _ in selector.select(1.0):
            if not key.data.read(time.monotonic()):
                selector.unregister(key.fileobj)
                key.fileobj.close()
    return readers, started


def measure(ports, streams, tokens, process=None):
    """Return the `StreamsReport` of a round."""
    before = cpu_seconds(process)
    readers, started = read_streams(ports, streams, tokens)
    cpu = cpu_seconds(process) - before
    gaps = [
        later - earlier
        for reader in readers
        for earlier, later in zip(reader.times, reader.times[1:], strict=False)
        if earlier - started > WARM_UP_SECONDS
    ]
    count = sum(len(reader.times) for reader in readers)
    p50, p95, p99 = map(float, np.percentile(gaps or [0.0], (50, 95, 99)))
    whole = sum(reader.whole for reader in readers)
    return StreamsReport(streams, whole, count, p50, p95, p99, cpu / max(1, count))


def cpu_seconds(process):
    """Return the CPU time that a process has used, seconds; 0 for None."""
    if process is None:
        return 0.0
    text = Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def start_fleet(fleet, streams):
    """Start engines with room for all streams in their batches, and one instance."""
    streams_per_engine = -(-streams // ENGINES)
    flags = ("--step", str(STEP_SECONDS), "--step-per-sequence", "0")
    for number in range(ENGINES):
        fleet.start_target(
            f"d{number}",
            "drafts",
            "muc-a",
            *flags,
            *("--max-batch", str(2 * streams_per_engine)),
            # Caps each engine at an even share, whichever targets are selected.
            max_concurrent=streams_per_engine,
        )
    fleet.start_target("b1", "bookings", "muc-a")
    fleet.start_instance("e1", "muc-a", "--limits", "fixed")
    fleet.list_instances()
    fleet.await_ready(fleet.publish())


def run(streams: int = 300, tokens: int = 120, *, out: Path | None = None):
    """Compare streams through one instance with streams directly from the targets.

    Parameters
    ----------
    streams
        Number of concurrent streams.
    tokens
        Tokens of each stream.
    out
        File to write the figures to as JSON.
    """
    declarations = sample_declarations()
    for plan in declarations["plans"].values():
        plan["allowances"]["drafts"] = {"concurrent": 2 * streams}
    declarations["services"]["drafts"]["queue_length"] = 2 * streams
    with Fleet(declarations) as fleet:
        start_fleet(fleet, streams)
        engines = [m.port for name, m in fleet.targets_by_id.items() if name != "b1"]
        entry = fleet.instances_by_id["e1"]
        alone = measure(engines, streams, tokens)
        through = measure([entry.port], streams, tokens, entry.process)
    for name, report in (("targets alone", alone), ("one instance", through)):
        print(
            f"{name:14} whole {report.whole}/{report.streams}"
            f"  gap p50 {report.gap_p50 * 1e3:6.1f} ms"
            f"  p95 {report.gap_p95 * 1e3:6.1f} ms  p99 {report.gap_p99 * 1e3:6.1f} ms"
            f"  processor {report.cpu_per_chunk * 1e6:5.0f} us a token"
        )
    ratio = through.gap_p95 / alone.gap_p95
    print(f"gap p95 ratio  {ratio:.3f}")
    if out is not None:
        figures = {"alone": asdict(alone), "through": asdict(through), "ratio": ratio}
        out.write_text(json.dumps(figures, indent=2))


if __name__ == "__main__":
    defopt.run(run, cli_options="has_default")
