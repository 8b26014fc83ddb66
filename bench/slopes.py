"""Measure how costs grow with workspaces, targets, instances and requests.

Prints a Markdown table of the figures that ``docs/CAPACITY.md`` is based on.
"""

import asyncio
import os
import socket
import statistics
import threading
import time
import tracemalloc
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np
import orjson

import almondglade.peers  # noqa: F401  registers all message codecs
from almondglade import messages as m
from almondglade.configuration import ConfigurationStore
from almondglade.coordinator.core import Coordinator
from almondglade.declarations import parse_declarations
from almondglade.entry.callers import CallerTable, hash_key
from almondglade.loads import LoadPoller
from almondglade.peers.codec import decode_batch, encode_batch
from almondglade.peers.documents import make_parts

from .fleet import LOOPBACK, Fleet, sample_declarations

WORKSPACES = (100, 1_000, 6_000, 24_000)
TARGETS_PER_POOL = (10, 40, 184)
INSTANCES = (3, 6, 9)
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 8.0
REQUESTS = 400
POLLS = 200
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Length prefix of gRPC plus frame header of HTTP/2.
FRAME_BYTES = 14


@dataclass
class Row:
    """One figure of the table."""

    what: str
    size: str
    figure: str


@dataclass
class Traffic:
    """Bytes and socket reads that one relay has forwarded."""

    bytes: int = 0
    reads: int = 0
    sockets: list = field(default_factory=list)


class CountingRelay:
    """Forwards connections to a port and counts the bytes and reads."""

    def __init__(self, port):
        self.target = port
        self.traffic = Traffic()
        self._listener = socket.create_server((LOOPBACK, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            try:
                far = socket.create_connection((LOOPBACK, self.target))
            except OSError:
                near.close()
                continue
            for pair in ((near, far), (far, near)):
                threading.Thread(target=self._pump, args=pair, daemon=True).start()

    def _pump(self, source, sink):
        try:
            while data := source.recv(1 << 16):
                self.traffic.bytes += len(data)
                self.traffic.reads += 1
                sink.sendall(data)
        except OSError:
            pass
        source.close()
        sink.close()


def cpu_seconds(pid):
    """Return the CPU time that a process has used, seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    """Return the resident memory of a process, bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def document_of(workspaces):
    """Return a serialised configuration document with a number of workspaces."""
    raw = sample_declarations()
    raw["workspaces"] = {
        f"ws-{number:05d}": {"plan": "gold", "keys": [hash_key(str(number))]}
        for number in range(workspaces)
    }
    return orjson.dumps(raw)


def workspace_rows():
    """Measure the configuration document at each number of workspaces."""
    for count in WORKSPACES:
        document = document_of(count)
        changed = document.replace(b'"muc-b":{}', b'"muc-b":{"state":"out"}')
        sent = sum(len(part.data) for part in make_parts(1, document))
        difference = sum(len(p.data) for p in make_parts(2, changed, 1, document))
        started = time.process_time()
        parse_declarations(document)
        parse = time.process_time() - started
        tracemalloc.start()
        store = ConfigurationStore()
        store.offer(1, document, "bench")
        table = CallerTable(store.declarations)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(table.by_key_hash) == count
        yield Row("document", f"{count} workspaces", f"{len(document) / 1e3:.0f} KB")
        yield Row("sent whole", f"{count} workspaces", f"{sent / 1e3:.0f} KB")
        yield Row("sent for one change", f"{count} workspaces", f"{difference} B")
        yield Row("parse", f"{count} workspaces", f"{parse:.2f} s of processor")
        yield Row("held", f"{count} workspaces", f"{held / 1e6:.1f} MB")


def coordinator_of(targets):
    """Return a coordinator of one pool with a number of targets."""
    raw = sample_declarations()
    raw["targets"] = {
        f"t{number:04d}": {
            "service": "drafts",
            "data_centre": "muc-a",
            "url": f"http://{LOOPBACK}:{1000 + number}",
        }
        for number in range(targets)
    }
    rng = np.random.default_rng(1)
    coordinator = Coordinator("drafts", "bench", time.monotonic, rng)
    coordinator.configure(parse_declarations(orjson.dumps(raw)))
    coordinator.join("e1", m.Join("drafts"))
    return coordinator


def request_rows():
    """Measure a request at the coordinator, and the size and coding of its messages."""
    demands = [
        m.Demand(f"e1-abcd1234-{n}", "drafts", "partner-a", 0, 200, 200, n, n)
        for n in range(REQUESTS)
    ]
    for targets in TARGETS_PER_POOL:
        coordinator = coordinator_of(targets)
        started = time.process_time()
        for demand in demands:
            coordinator.renew("e1", time.monotonic(), 1.0)
            coordinator.submit("e1", demand)
            coordinator.decide()
            done = m.Completion(demand.request_id, "drafts", m.Result.COMPLETED, 9, 9)
            coordinator.finish("e1", done)
        spent = (time.process_time() - started) / REQUESTS
        yield Row("request", f"{targets} targets a pool", f"{spent * 1e3:.2f} ms")
    state = m.TargetState("t0001", "1796337569.7", 9.0, 0.01)
    grant = m.Grant("e1-abcd1234-1", "drafts", 1, "e1/abcd", "t0001", 1e5, state)
    batch = [demands[1], grant, done]
    started = time.process_time()
    for _ in range(REQUESTS):
        for message in batch:
            decode_batch(encode_batch([message]))
    spent = (time.process_time() - started) / REQUESTS
    size = sum(len(encode_batch([x]).SerializeToString()) for x in batch)
    size += len(batch) * FRAME_BYTES
    yield Row("request's messages", "3 messages", f"{size} B")
    yield Row("request's messages", "3 messages", f"{spent * 1e3:.2f} ms, both ends")


def poll_rows():
    """Measure the CPU time of polling the load of one target."""
    with Fleet(sample_declarations()) as fleet:
        fleet.start_target("b1", "bookings", "muc-a")
        store = ConfigurationStore()
        store.offer(1, orjson.dumps(fleet.declarations), "bench")
        host = type("Host", (), {"observe": lambda *arguments: None})()
        poller = LoadPoller(host, store)

        async def poll():
            for _ in range(POLLS):
                await poller._fetch_and_report("b1", "bookings")

        started = time.process_time()
        asyncio.run(poll())
        spent = (time.process_time() - started) / POLLS
    yield Row("load report", "1 target", f"{spent * 1e3:.2f} ms")


def instance_rows():
    """Measure idle fleets of several sizes, with links through counting relays."""
    for count in INSTANCES:
        with Fleet(sample_declarations()) as fleet:
            fleet.start_target("d1", "drafts", "muc-a")
            fleet.start_target("b1", "bookings", "muc-a")
            for number in range(count):
                fleet.start_instance(f"e{number}", "muc-a")
            relays = list_through_relays(fleet)
            fleet.await_ready(fleet.publish())
            time.sleep(SETTLE_SECONDS)
            yield from idle_rows(fleet, relays, count)


def list_through_relays(fleet):
    """Put a relay in front of each instance's peer port and publish the list."""
    members = list(fleet.instances_by_id.values())
    relays = [CountingRelay(member.peer_port) for member in members]
    for member, relay in zip(members, relays, strict=True):
        member.peer_port = relay.port
    fleet.list_instances()
    return relays


def idle_rows(fleet, relays, count):
    """Measure CPU time, memory, links and platform calls of an idle fleet."""
    pids = [member.process.pid for member in fleet.instances_by_id.values()]
    links = sum(
        link["up"]
        for name in fleet.instances_by_id
        for link in fleet.dump(name)["links"].values()
    )
    calls = orjson.loads(fleet.http.request("POST", _calls_url(fleet)).data)
    cpu = {pid: cpu_seconds(pid) for pid in pids}
    traffic = [(relay.traffic.bytes, relay.traffic.reads) for relay in relays]
    time.sleep(MEASURE_SECONDS)
    spent = [(cpu_seconds(pid) - cpu[pid]) / MEASURE_SECONDS for pid in pids]
    now = [(relay.traffic.bytes, relay.traffic.reads) for relay in relays]
    size, reads = (
        sum(after[k] - before[k] for before, after in zip(traffic, now, strict=True))
        for k in (0, 1)
    )
    later = orjson.loads(fleet.http.request("POST", _calls_url(fleet)).data)
    made = (sum(later.values()) - sum(calls.values())) / MEASURE_SECONDS
    memory = statistics.mean(resident_bytes(pid) for pid in pids)
    label = f"{count} instances, idle"
    yield Row("links", label, str(links))
    yield Row("processor, mean", label, f"{statistics.mean(spent):.2%} of a core")
    yield Row("processor, most", label, f"{max(spent):.2%} of a core")
    yield Row("memory, mean", label, f"{memory / 1e6:.0f} MB")
    yield Row("link", label, f"{size / links / MEASURE_SECONDS:.0f} B/s")
    yield Row("link", label, f"{reads / links / MEASURE_SECONDS:.1f} packets/s")
    yield Row("platform's calls, all", label, f"{made:.1f} a second")


def _calls_url(fleet):
    return f"{fleet.platform.url}/standin/calls"


def main():
    """Run all measurements and print the table."""
    print("| what | size | figure |\n| --- | --- | --- |")
    for rows in (workspace_rows, request_rows, poll_rows, instance_rows):
        for row in rows():
            print(f"| {row.what} | {row.size} | {row.figure} |", flush=True)


if __name__ == "__main__":
    main()
