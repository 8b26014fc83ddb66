"""A machine is killed while requests wait there; bookings run elsewhere then."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins2 import (  # noqa: E402
    KEY,
    CannotRun,
    Gateways,
    Runner,
    Store,
    call,
    is_troubled,
    make_config,
    make_route,
    new_id,
    run_case,
)

STOCK, LEDGER = "stock", "ledger"
WORK_SECONDS = 0.5
LOOKUPS_ELSEWHERE = 4
LOOKUPS = 16
BOOKINGS = 20
RESTART_SECONDS = 0.5
# The other one assigns the places of the service `stock`.
KILLED = 1
# How long before the killed machine is back the lookups elsewhere are answered, by
# round.
LEADS_SECONDS = (0.3, 0.2, 0.1, 0.25)
# The other machine forgets one that is silent for longer.
MAX_BOOT_SECONDS = 0.9


class StockRunner(Runner):
    """A runner that answers some lookups when the script says so."""

    def hold(self):
        """Answer the next lookups when `released` is set."""
        self.released = asyncio.Event()

    async def handle(self, method, path, headers, body, writer):
        """Run one request."""
        if not self.released.is_set():
            self.note_arrival(method, path, headers)
            await self.released.wait()
            await self.answer(headers, writer)
            return
        await super().handle(method, path, headers, body, writer)


async def case(record, stack):
    """Return whether a booking runs at a runner of the other service."""
    store = Store(record)
    ports = [await store.open_port() for _ in range(2)]
    stock = [
        StockRunner(f"i-{n}", STOCK, record, work_s=WORK_SECONDS) for n in range(2)
    ]
    ledger = [Runner("i-9", LEDGER, record, work_s=WORK_SECONDS)]
    for runner in (*stock, *ledger):
        runner.slots = 2 if runner in stock else 1
        await runner.listen()
        stack.callback(runner.end)
        await store.put(f"servers/{runner.name}", runner.entry())
    terms = {"timeoutMs": 8000, "targetLatencyMs": 3000}
    routes = [
        make_route("/look/", "idempotent", STOCK, **terms),
        make_route("/book/", "non_idempotent", LEDGER, **terms),
    ]
    await store.put("op/config", make_config(7, routes, plain=[STOCK, LEDGER]))
    gateways = Gateways(record, ports)
    stack.callback(gateways.close)
    await gateways.start_all()
    await asyncio.sleep(2)

    async def restart():
        """Kill the machine and start it again; return how long the start takes."""
        gateways.signal(KILLED, signal.SIGKILL)
        gateways.processes[KILLED].wait()
        await asyncio.sleep(RESTART_SECONDS)
        started_at = time.monotonic()
        gateways.start(KILLED)
        await gateways.wait_ready(KILLED)
        return time.monotonic() - started_at

    async def send(gateway, method, prefix):
        request = new_id()
        headers = {"X-Request-Id": request, "X-Deadline-Ms": 8000, "X-Credential": KEY}
        record("sent", request=request, gateway=gateway + 1, path=f"{prefix}{request}")
        answer = await call(
            gateways.addresses[gateway],
            gateways.front,
            method,
            f"{prefix}{request}",
            headers,
            8,
        )
        by = answer.body.split(b" ")[0].decode() if answer.status == 200 else ""
        record("answered", request=request, status=answer.status, by=by)
        return prefix, request, answer.status, by

    def send_some(count, *args):
        return [asyncio.create_task(send(*args)) for _ in range(count)]

    async def release(seconds):
        await asyncio.sleep(max(0.0, seconds))
        for runner in stock:
            runner.released.set()

    async def play_round(lead):
        boot_seconds = 0.3
        if is_troubled():
            boot_seconds = await restart()
            if boot_seconds > MAX_BOOT_SECONDS:
                raise CannotRun(f"a machine takes {boot_seconds:.1f} s to start")
        await asyncio.sleep(2)
        for runner in stock:
            runner.hold()
        sent = send_some(LOOKUPS_ELSEWHERE, 1 - KILLED, "GET", "/look/")
        await asyncio.sleep(0.1)
        sent += send_some(LOOKUPS, KILLED, "GET", "/look/")
        await asyncio.sleep(0.2)
        seconds = RESTART_SECONDS + boot_seconds - lead
        releasing = asyncio.create_task(release(seconds))
        if is_troubled():
            await restart()
        else:
            await asyncio.sleep(RESTART_SECONDS + boot_seconds)
        sent += send_some(BOOKINGS, KILLED, "POST", "/book/")
        await releasing
        return await asyncio.gather(*sent)

    results = []
    for lead in LEADS_SECONDS:
        results += await play_round(lead)
        await asyncio.sleep(1)
    bookings = {request for prefix, request, *_ in results if prefix == "/book/"}
    misrouted = [
        request
        for runner in stock
        for _, request in runner.arrivals
        if request in bookings
    ]
    stock_names = {runner.name for runner in stock}
    foreign = sum(
        prefix == "/book/" and by in stock_names for prefix, _, _, by in results
    )
    served = sum(status == 200 for _, _, status, _ in results)
    record(
        "checked",
        bookings=len(bookings),
        ran_at_the_other_service=len(misrouted),
        foreign_answers=foreign,
        served=served,
    )
    if not served:
        raise CannotRun("nothing was served")
    return bool(misrouted)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
