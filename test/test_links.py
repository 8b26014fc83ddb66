"""When the links from a gateway to the targets of a service count as lost."""

import asyncio
import threading
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from almondglade.gateway.links import PROBE_INTERVAL_SECONDS, LinkMonitor
from almondglade.placement.health import Health

from .placing import SERVICE, record

RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
PROBE_SECONDS = 1.5


class Service:
    """Targets on one port that accept connections, and answer if told to."""

    def __init__(self):
        self.response = b""
        self.requests = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.states = [
            SimpleNamespace(
                record=replace(record(f"t{number}"), host="127.0.0.1", port=port),
                health=Health(),
            )
            for number in range(3)
        ]
        targets = SimpleNamespace(
            states_of=lambda service: self.states, obstacle=lambda state, now: None
        )
        connections = SimpleNamespace(close_idle=lambda url: None)
        self.monitor = LinkMonitor(
            threading.Lock(),
            targets,
            connections,
            lambda service: "/up",
            time.monotonic,
        )
        self.task = asyncio.create_task(self.monitor.run())
        return self

    async def __aexit__(self, *exc):
        self.task.cancel()
        self.server.close()

    async def _serve(self, reader, writer):
        self.requests.append(await reader.readline())
        writer.write(self.response)
        await reader.read()
        writer.close()

    async def probe(self):
        """Let a request wait in silence until the links were probed."""
        with self.monitor.awaiting(SERVICE, lambda: None, repeatable=False):
            await asyncio.sleep(PROBE_SECONDS + 0.6)


def run(scenario):
    async def play():
        async with Service() as service:
            return await scenario(service)

    return asyncio.run(play())


# A connection alone, after a request had failed, ended the loss 6 ms later.
def test_an_accepted_connection_does_not_end_a_loss():
    async def scenario(service):
        await service.probe()
        assert service.monitor.is_lost(SERVICE)
        for _ in range(4):
            service.monitor.record_failure(SERVICE)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            assert service.monitor.is_lost(SERVICE)

    run(scenario)


@pytest.mark.parametrize(
    "response", [RESPONSE, b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE]
)
def test_any_response_to_a_probe_ends_a_loss(response):
    async def scenario(service):
        await service.probe()
        service.response = response
        await asyncio.sleep(PROBE_SECONDS)
        assert not service.monitor.is_lost(SERVICE)
        assert not any(state.health.is_link_lost for state in service.states)

    run(scenario)


# Any byte counted as a response, and a line in any head as a word of the target.
@pytest.mark.parametrize(
    "response",
    [
        b"x",
        RESPONSE.replace(b"503", b"000"),
        RESPONSE.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\nX Odd: 1\r\n", 1),
        RESPONSE.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\nX-Odd: \0\r\n", 1),
        b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Long: " + b"x" * (1 << 20),
    ],
    ids=["no protocol", "status", "name", "value", "long head"],
)
def test_a_malformed_response_to_a_probe_tells_nothing(response):
    async def scenario(service):
        leaving = []
        service.monitor.on_leaving = lambda *said: leaving.append(said)
        service.response = response
        await service.probe()
        assert service.monitor.is_lost(SERVICE)
        assert not leaving

    run(scenario)


def test_a_failed_connection_costs_targets_no_status_check():
    async def scenario(service):
        service.monitor.record_failure(SERVICE)
        await asyncio.sleep(0.2)
        assert not service.monitor.is_lost(SERVICE)
        assert service.requests == [b""] * 3

    run(scenario)
