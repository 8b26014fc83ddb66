"""A runner leaves unannounced shortly after a waiting watch of the store was cut."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins2 import (  # noqa: E402
    BOUNDS,
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

SERVICE = "ledger"
PER_SECOND = 100
WORK_SECONDS = 0.15
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000
# How much longer than that the leaving runner serves.
LONGER_SECONDS = 0.2
# From the cut of the watch to the removal of the entry; the late requests then come
# more than contactMs after the cut.
UNTIL_REMOVAL_SECONDS = 1.5


async def case(record, stack):
    """Return whether a request reaches the runner later than the drain time."""
    store = Store(record)
    ports = [await store.open_port() for _ in range(2)]
    runners = [Runner(f"i-{n}", SERVICE, record, work_s=WORK_SECONDS) for n in range(4)]
    for runner in runners:
        await runner.listen()
        stack.callback(runner.end)
        await store.put(f"servers/{runner.name}", runner.entry())
    route = make_route("/book/", "non_idempotent", SERVICE, timeoutMs=3000)
    await store.put("op/config", make_config(7, [route], plain=[SERVICE]))
    gateways = Gateways(record, ports)
    stack.callback(gateways.close)
    await gateways.start_all()
    leaving, staying = runners[0], runners[1:]

    async def beat():
        while True:
            await asyncio.sleep(1.2)
            for runner in staying:
                await store.put(f"servers/{runner.name}", runner.entry(), quiet=True)

    beating = asyncio.create_task(beat())
    stack.callback(beating.cancel)
    answers = []

    async def book(gateway):
        request = new_id()
        headers = {"X-Request-Id": request, "X-Deadline-Ms": 3000, "X-Credential": KEY}
        record("sent", request=request, gateway=gateway + 1)
        answer = await call(
            gateways.addresses[gateway],
            gateways.front,
            "POST",
            f"/book/{request}",
            headers,
            3,
            b"x",
        )
        record("answered", request=request, status=answer.status)
        answers.append(answer)

    async def press():
        number = 0
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                group.create_task(book(number % len(ports)))
                number += 1
                await asyncio.sleep(1 / PER_SECOND)

    end = time.monotonic() + 11
    pressing = asyncio.create_task(press())
    await asyncio.sleep(5)
    if is_troubled():
        store.cut_watches()
    await asyncio.sleep(UNTIL_REMOVAL_SECONDS)
    removed_at = await store.remove(f"servers/{leaving.name}")
    await asyncio.sleep(DRAIN_SECONDS + LONGER_SECONDS)
    leaving.end()
    record("runner", ended=leaving.name)
    await pressing
    late = [at - removed_at for at, _ in leaving.arrivals]
    late = [seconds for seconds in late if seconds > DRAIN_SECONDS]
    lost = sum(answer.status in (0, 502, 504) for answer in answers)
    good = sum(answer.status == 200 for answer in answers)
    record(
        "checked",
        late_arrivals=len(late),
        latest_s=round(max(late, default=0.0), 3),
        served=good,
        lost=lost,
    )
    if good < len(answers) // 2:
        raise CannotRun(f"only {good} requests were served")
    return bool(late)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
