"""A key that was taken away is accepted by a machine that wakes from a freeze."""

import os
import random
import signal
import sys
import threading
import time
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Channel,
    Fleet,
    Record,
    Runner,
    Store,
    make_configuration,
    make_route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_SECONDS = 5.0
# The machine stands still for this long, and the key is taken away meanwhile.
FREEZE_SECONDS = 7.0
REVOKED_AFTER_SECONDS = 0.6
CLIENTS = 40
# A deployment has this many machines, runners and further routes.
MACHINES, RUNNERS, MORE_ROUTES = 9, 9, 350
KEPT_KEY = "key-that-stays"
# Each time another machine freezes, and another key is taken away.
ROUNDS = 4


def main():
    """Return whether the rule was broken."""
    record = Record(Path(__file__).parent / "record.txt")
    store = Store("127.0.0.1")
    routes = [
        make_route("/stream/", "streaming", "plain", 15000, 1500, streamResume=True),
        make_route("/look/", "idempotent", "plain", 1000, 125),
        *(
            make_route(f"/more{number}/", "idempotent", "plain", 1000, 125)
            for number in range(MORE_ROUTES)
        ),
    ]

    def configure(version):
        keys = [KEPT_KEY, *(f"key-{n}" for n in range(version, ROUNDS + 1))]
        document = make_configuration(version, routes, ["plain"], {"t1": keys})
        return store.put("op/config", document)

    configure(1)
    runners = [
        Runner(store, "127.0.0.1", record, "plain", f"i-{number}")
        for number in range(RUNNERS)
    ]
    fleet = Fleet(store.address, MACHINES, record)
    try:
        fleet.start()
        broken = []
        for number in range(1, ROUNDS + 1):
            time.sleep(3.5)
            broken += play(
                record,
                fleet,
                runners,
                f"key-{number}",
                fleet.addresses[2 * number],
                partial(configure, number + 1),
            )
        return bool(broken)
    finally:
        fleet.stop()


def play(record, fleet, runners, key, frozen, revoke):
    """Freeze a machine, take a key away, and return the requests with it that ran."""
    channels = [Channel(fleet, frozen) for _ in range(CLIENTS)]
    for number, channel in enumerate(channels):
        name = f"{key}-before-{number}"
        channel.send("GET", "/look/", name, key, 1000)
        status, _, _ = channel.receive(2.0)
        record(f"client {number} is connected: {name} answered {status}")
        if status != 200:
            raise RuntimeError("a request before the freeze failed")
    frozen_at = time.monotonic()
    if TROUBLE:
        fleet.signal(frozen, signal.SIGSTOP)
    time.sleep(REVOKED_AFTER_SECONDS)
    revoked_at = revoke()
    record(f"the store acknowledges the configuration without {key}")
    sent_at_by_id = {}
    rng = random.Random(1)
    # A client gives up after a second if its request is not read.
    first = max(revoked_at + REVOKE_SECONDS + 0.1, frozen_at + FREEZE_SECONDS - 0.9)
    last = frozen_at + FREEZE_SECONDS + 0.3

    def send(number, channel, at):
        time.sleep(max(0.0, at - time.monotonic()))
        name = f"{key}-after-{number}"
        try:
            sent_at_by_id[name] = channel.send("POST", "/stream/", name, key, 15000)
        except OSError as error:
            record(f"client {number} could not send: {error}")
            return
        record(f"client {number} sends {name}")
        status, _, body = channel.receive(6.0)
        record(f"client {number} gets {status} for {name}, {len(body or b'')} bytes")
        channel.close()

    threads = [
        threading.Thread(target=send, args=(number, channel, rng.uniform(first, last)))
        for number, channel in enumerate(channels)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.monotonic()))
    if TROUBLE:
        fleet.signal(frozen, signal.SIGCONT)
    for thread in threads:
        thread.join()
    broken = [
        (name, sent_at_by_id[name] - revoked_at)
        for runner in runners
        for _, name, _, _ in runner.runs
        if name in sent_at_by_id and sent_at_by_id[name] > revoked_at + REVOKE_SECONDS
    ]
    for name, seconds in broken:
        record(f"{name} ran, sent {seconds:.3f} s after the acknowledgement")
    record(f"{len(broken)} of {len(sent_at_by_id)} requests with {key} ran")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(main))
