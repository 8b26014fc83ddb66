"""A zone loses power; streams that began there go on at another version."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins2 import (  # noqa: E402
    KEY,
    TOKENS_PER_EVENT,
    CannotRun,
    EngineRunner,
    Gateways,
    Store,
    call,
    is_troubled,
    make_config,
    make_route,
    new_id,
    run_case,
)

SERVICE = "engine-a"
SESSIONS = 8
EVENTS = 40
EVENT_SECONDS = 0.1
SESSION_TOKENS = 250
DARK_SECONDS = 1.0
TIME_LIMIT_SECONDS = 15.0
MAX_TRIES = 5


class Caller:
    """A client that reads one stream, and takes it up again when it breaks off."""

    def __init__(self, record, gateways, session, first_gateway):
        self.record = record
        self.gateways = gateways
        self.session = session
        self.gateway = first_gateway
        self.first_request = None
        self.last_event = 0
        self.versions = []
        self.is_whole = False

    def _add(self, data):
        for line in data.decode().splitlines():
            if line.startswith("id: "):
                self.last_event = int(line[4:])
            elif line.startswith("data: "):
                self.versions.append(line.split(" ")[1])

    async def read(self):
        """Read the stream to its end, within the time limit."""
        end = time.monotonic() + TIME_LIMIT_SECONDS
        for _ in range(MAX_TRIES):
            left = end - time.monotonic()
            answer = await self._try(left)
            if answer.status == 200 and answer.is_complete:
                self.is_whole = True
                return
            pause = float(answer.headers.get("retry-after", 0.5))
            pause = max(pause, 1.2 if answer.status == 0 else 0.1)
            await asyncio.sleep(min(pause, left / 3))
            self.gateway = (self.gateway + 1) % len(self.gateways.addresses)

    async def _try(self, left):
        request = new_id()
        headers = {
            "X-Request-Id": request,
            "X-Deadline-Ms": int(left * 1000),
            "X-Credential": KEY,
            "X-Model-Name": "m",
            "X-Token-Usage": f"{800 + SESSION_TOKENS},{EVENTS * TOKENS_PER_EVENT}",
            "X-Prompt-Prefix": f"5c1e07a2:800,{self.session}:{SESSION_TOKENS}",
        }
        if self.last_event:
            headers["Last-Event-Id"] = self.last_event
            headers["Resumes"] = self.first_request
        else:
            self.first_request = request
        self.record(
            "sent",
            request=request,
            gateway=self.gateway + 1,
            session=self.session,
            after=self.last_event,
        )
        answer = await call(
            self.gateways.addresses[self.gateway],
            self.gateways.front,
            "POST",
            f"/stream/{self.session}",
            headers,
            left,
            b"x",
            self._add,
        )
        self.record(
            "answered",
            request=request,
            status=answer.status,
            complete=answer.is_complete,
            until=self.last_event,
            versions="+".join(dict.fromkeys(self.versions)),
        )
        return answer


async def case(record, stack):
    """Return whether more than two streams hold events of two versions."""
    store = Store(record)
    ports = [await store.open_port() for _ in range(2)]
    far = EngineRunner("i-far", SERVICE, record, "v1", EVENT_SECONDS, EVENTS)
    near = EngineRunner("i-near", SERVICE, record, "v2", EVENT_SECONDS, EVENTS)
    far.zone = "z2"
    for runner in (far, near):
        await runner.listen()
        stack.callback(runner.end)
    await store.put("servers/i-far", far.entry())
    route = make_route("/stream/", "streaming", SERVICE)
    await store.put("op/config", make_config(7, [route], engines=[SERVICE]))
    gateways = Gateways(record, ports)
    stack.callback(gateways.close)
    await gateways.start_all()
    sessions = [f"{0xE4400000 + n:x}" for n in range(SESSIONS)]

    def callers(some):
        return [Caller(record, gateways, each, n % 2) for n, each in enumerate(some)]

    for some in (sessions[:4], sessions[4:]):
        first = callers(some)
        await asyncio.gather(*(caller.read() for caller in first))
        if not all(caller.is_whole for caller in first):
            raise CannotRun("the first streams of the sessions were not served")
    await store.put("servers/i-near", near.entry())
    await asyncio.sleep(1.5)
    second = callers(sessions)
    reading = asyncio.gather(*(caller.read() for caller in second))
    await asyncio.sleep(1.5)
    if is_troubled():
        record("zone", without_power="z1", seconds=DARK_SECONDS)
        for number in range(len(ports)):
            gateways.signal(number, signal.SIGKILL)
        near.end()
        for process in gateways.processes:
            process.wait()
        await asyncio.sleep(DARK_SECONDS - 0.3)
        await near.start_again()
        await store.put("servers/i-near", near.entry())
        for number in range(len(ports)):
            gateways.start(number)
    await reading
    mixed = sum(len(set(caller.versions)) > 1 for caller in second)
    whole = sum(caller.is_whole for caller in second)
    begun = sum(bool(caller.versions) for caller in second)
    record("checked", streams=begun, complete=whole, of_two_versions=mixed)
    if begun < len(second):
        raise CannotRun(f"only {begun} streams began")
    return mixed > 2


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
