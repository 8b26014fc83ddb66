"""Overlapping sequences of faults that a seed selects."""

import itertools
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from .links import CUT_MODES, MUTE
from .targets import CRASHING_PART, CRASHING_PATH_END

# Limits on response times are not checked for this long after a fault, while the
# users' documentation still counts an instance as "out of touch".
SETTLE_SECONDS = 3.0
# Ranges of the pause between the faults of a sequence, of a fault's duration and of
# an injected delay.
PAUSE_SECONDS = (0.3, 2.5)
CRASHING_REQUEST_PAUSE_SECONDS = (2.0, 8.0)
STORE_COPY_PAUSE_SECONDS = (1.0, 5.0)
DURATION_SECONDS = (0.2, 3.0)
DELAY_SECONDS = (0.05, 0.4)


@dataclass(frozen=True)
class Fault:
    """A kind of fault, given by how it is injected and removed.

    Parameters
    ----------
    begin : callable
        Takes the fleet and a `random.Random`, injects the fault and returns its
        subject, such as a process or proxy.
    end : callable
        Takes the fleet and the subject that `begin` returned, and removes the fault.
    seconds : (float, float)
        Range of its duration.
    """

    begin: Callable
    end: Callable = lambda fleet, subject: None
    seconds: tuple[float, float] = DURATION_SECONDS


def _pick_gateway(fleet, rng):
    return rng.randrange(len(fleet.addresses))


def _kill_gateway(fleet, rng):
    process = fleet.processes[_pick_gateway(fleet, rng)]
    process.kill()
    return process


def _terminate_gateway(fleet, rng):
    process = fleet.processes[_pick_gateway(fleet, rng)]
    process.send_signal(signal.SIGTERM)
    return process


def _pause_gateway(fleet, rng):
    process = fleet.processes[_pick_gateway(fleet, rng)]
    process.send_signal(signal.SIGSTOP)
    return process


def _resume_gateway(fleet, process):
    process.send_signal(signal.SIGCONT)


def _reload_gateway(fleet, rng):
    fleet.processes[_pick_gateway(fleet, rng)].send_signal(signal.SIGHUP)


def _fail_store(fleet, rng):
    fleet.set_store_state(down=True)


def _delay_store(fleet, rng):
    fleet.set_store_state(delay=rng.uniform(*DELAY_SECONDS))


def _restore_store(fleet, subject):
    fleet.set_store_state(down=False, delay=0.0)


def _forget_store_history(fleet, rng):
    fleet.set_store_state(forget=True)


def _refuse_store_connections(fleet, rng):
    proxy = fleet.store_proxies[_pick_gateway(fleet, rng)]
    proxy.is_refusing = True
    proxy.reset()
    return proxy


def _silence_store_connections(fleet, rng):
    proxy = fleet.store_proxies[_pick_gateway(fleet, rng)]
    proxy.silence(*rng.choice((("in",), ("out",), ("in", "out"))))
    return proxy


def _restore_proxy(fleet, proxy):
    proxy.is_refusing, proxy.delay, proxy.silent_directions = False, 0.0, frozenset()


def _pick_target_proxy(fleet, rng):
    return rng.choice(fleet.targets).proxy


def _delay_target_link(fleet, rng):
    proxy = _pick_target_proxy(fleet, rng)
    proxy.delay = rng.uniform(*DELAY_SECONDS)
    return proxy


def _reset_target_link(fleet, rng):
    proxy = _pick_target_proxy(fleet, rng)
    proxy.reset()
    return proxy


def _cut_target_link(fleet, rng):
    proxy = _pick_target_proxy(fleet, rng)
    proxy.is_refusing = True
    proxy.reset()
    return proxy


def _silence_target_link(fleet, rng):
    proxy = _pick_target_proxy(fleet, rng)
    proxy.silence(*rng.choice((("in",), ("out",), ("in", "out"))))
    return proxy


def _crash_target(fleet, rng):
    target = rng.choice(fleet.targets)
    with fleet.target_lock:
        target.crash()
        target.start()
    fleet.write_target_entries()


def _fail_target(fleet, rng):
    target = rng.choice(fleet.targets)
    target.failure_mode = rng.choice(("reset", "500", "cut"))
    return target


def _slow_target(fleet, rng):
    target = rng.choice(fleet.targets)
    target.slowdown = rng.uniform(2.0, 6.0)
    return target


def _restore_target(fleet, target):
    target.failure_mode, target.slowdown = "", 1.0


def _drain_target(fleet, rng):
    target = rng.choice(fleet.targets)
    fleet.write_target_entries(draining=target)


def _undrain_targets(fleet, subject):
    fleet.write_target_entries()


def _revoke_key(fleet, rng):
    fleet.replace_key()


def _send_crashing_request(fleet, rng):
    kind = rng.choice(("look", "stream"))
    path = f"/{kind}/{len(fleet.crashing_paths)}{CRASHING_PATH_END}"
    # Callers repeat it from now on, also after the end of the fault.
    fleet.crashing_paths.append(path)


def _send_crashing_stream(fleet, rng):
    kind = rng.choice(("once", "once/unframed"))
    fleet.crashing_paths.append(
        f"/{kind}/{len(fleet.crashing_paths)}{CRASHING_PATH_END}"
    )


def _send_crashing_part(fleet, rng):
    part = f"{CRASHING_PART}{len(fleet.kind_by_crashing_part)}"
    kind = rng.choice(("look", "stream", "once", "once/unframed"))
    # Callers send requests with it from now on, no two alike.
    fleet.kind_by_crashing_part[part] = kind


def _cut_links(fleet, rng):
    count = rng.randint(1, len(fleet.addresses) - 1)
    addresses = tuple(rng.sample(fleet.addresses, count))
    mode = rng.choice(CUT_MODES)
    fleet.cut_count += 1
    # By count, so that a seed still selects the same other faults.
    if fleet.cut_count % MUTE_INTERVAL == 0:
        mode = MUTE
    for address in addresses:
        fleet.links_by_address[address].cut(mode)
    return addresses


def _heal_links(fleet, addresses):
    for address in addresses:
        fleet.links_by_address[address].heal()


def _name_rates(fleet, rng):
    targets = tuple(rng.sample(fleet.targets, rng.randint(1, len(fleet.targets))))
    started_at = time.monotonic()
    for target in targets:
        target.rate_limit = rng.choice((0.4, 1.0, 2.6, 10.0))
    return started_at, targets


def _end_rates(fleet, subject):
    started_at, targets = subject
    for target in targets:
        fleet.ledger.record_named_rate(target.name, target.rate_limit, started_at)
        target.rate_limit = None


def _make_brittle(fleet, rng):
    for target in fleet.targets:
        target.is_brittle = True
    return time.monotonic()


def _end_brittle(fleet, started_at):
    for target in fleet.targets:
        target.is_brittle = False
    fleet.ledger.record_brittle_time(started_at, len(fleet.targets))


def _copy_store(fleet, rng):
    fleet.control_store("copy")


def _restore_store_copy(fleet, subject):
    fleet.restore_store()


FAULT_BY_NAME = {
    "gateway killed": Fault(
        _kill_gateway, lambda fleet, process: fleet.restart(process)
    ),
    "gateway stopped": Fault(
        _terminate_gateway, lambda fleet, process: fleet.restart(process)
    ),
    "gateway paused": Fault(_pause_gateway, _resume_gateway),
    "gateway reloaded": Fault(_reload_gateway),
    "store down": Fault(_fail_store, _restore_store),
    "store slow": Fault(_delay_store, _restore_store),
    "store forgets": Fault(_forget_store_history),
    "store turns one away": Fault(_refuse_store_connections, _restore_proxy),
    "store silent to one": Fault(_silence_store_connections, _restore_proxy),
    "link delayed": Fault(_delay_target_link, _restore_proxy),
    "link reset": Fault(_reset_target_link),
    "link cut": Fault(_cut_target_link, _restore_proxy),
    "link silent": Fault(_silence_target_link, _restore_proxy),
    "target crashes": Fault(_crash_target),
    "target fails": Fault(_fail_target, _restore_target),
    "target slow": Fault(_slow_target, _restore_target),
    "target leaves": Fault(_drain_target, _undrain_targets),
    "key revoked": Fault(_revoke_key),
}
LIMITS_SECONDS = (4.0, 9.0)
LINKS_SECONDS = (0.5, 6.0)
# Every so many cuts of links, connections are accepted in vain.
MUTE_INTERVAL = 3
LINK_FAULT_BY_NAME = {
    "links of gateways lost": Fault(_cut_links, _heal_links, LINKS_SECONDS)
}
LIMIT_FAULT_BY_NAME = {
    "targets name rates": Fault(_name_rates, _end_rates, LIMITS_SECONDS),
    "targets brittle": Fault(_make_brittle, _end_brittle, LIMITS_SECONDS),
}
STORE_COPY_FAULT_BY_NAME = {
    "store returns from a copy": Fault(_copy_store, _restore_store_copy)
}
# In sequences of their own, so that a seed still selects the same other faults.
CRASHING_REQUEST_BY_NAME = {"request crashes targets": Fault(_send_crashing_request)}
CRASHING_STREAM_OR_PART_BY_NAME = {
    "stream crashes targets": Fault(_send_crashing_stream),
    "part crashes targets": Fault(_send_crashing_part),
}

# Distinguishes faults of the same name.
FAULT_NUMBERS = itertools.count(1)


class FaultSequence:
    """Injects faults one after the other; several sequences run at once.

    Parameters
    ----------
    fleet : SoakFleet
        Gateways, store and targets to disturb.
    rng : random.Random
        Selects the faults and their times.
    fault_by_name : dict of str to Fault
        Faults to select from.
    pause_seconds : (float, float)
        Range of the pause between two faults.
    """

    def __init__(
        self, fleet, rng, fault_by_name=FAULT_BY_NAME, pause_seconds=PAUSE_SECONDS
    ):
        self.fleet, self.rng = fleet, rng
        self.fault_by_name, self.pause_seconds = fault_by_name, pause_seconds
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopped.wait(self.rng.uniform(*self.pause_seconds)):
            name = self.rng.choice(list(self.fault_by_name))
            fault = self.fault_by_name[name]
            label = f"{name} ({next(FAULT_NUMBERS)})"
            self.fleet.record_fault_start(label)
            started_at = time.monotonic()
            subject = fault.begin(self.fleet, self.rng)
            addresses = self.fleet.disturbed_addresses(name, subject)
            self.stopped.wait(self.rng.uniform(*fault.seconds))
            fault.end(self.fleet, subject)
            self.fleet.record_fault_end(label)
            self.fleet.ledger.record_disturbance(addresses, started_at)

    def stop(self):
        """Stop the sequence after the fault in progress has been removed."""
        self.stopped.set()
        self.thread.join()


def wait_until(condition, seconds):
    """Poll a condition; return whether it held within a number of seconds."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True
