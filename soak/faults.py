"""Series of faults, chosen by a seed, that overlap."""

import itertools
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

# After a fault an instance is not judged by bounds on time for this long: the
# users' pages call it out of touch.
CONTACT_SECONDS = 3.0
# Pause between faults of one series, and how long a fault lasts; seconds.
PAUSE_SECONDS = (0.3, 2.5)
LENGTH_SECONDS = (0.2, 3.0)
DELAY_SECONDS = (0.05, 0.4)


@dataclass(frozen=True)
class Fault:
    """One kind of fault: how it begins and ends.

    Parameters
    ----------
    begin : callable
        Takes the fleet and random choices, returns what `end` takes.
    end : callable
        Takes the fleet and what `begin` returned.
    """

    begin: Callable
    end: Callable = lambda fleet, subject: None


def _pick_gateway(fleet, rng):
    return rng.randrange(len(fleet.addresses))


def _kill(fleet, rng):
    process = fleet.processes[_pick_gateway(fleet, rng)]
    process.kill()
    return process


def _terminate(fleet, rng):
    process = fleet.processes[_pick_gateway(fleet, rng)]
    process.send_signal(signal.SIGTERM)
    return process


def _pause(fleet, rng):
    process = fleet.processes[_pick_gateway(fleet, rng)]
    process.send_signal(signal.SIGSTOP)
    return process


def _resume(fleet, process):
    process.send_signal(signal.SIGCONT)


def _reload(fleet, rng):
    fleet.processes[_pick_gateway(fleet, rng)].send_signal(signal.SIGHUP)


def _store_down(fleet, rng):
    fleet.set_store_state(down=True)


def _store_slow(fleet, rng):
    fleet.set_store_state(delay=rng.uniform(*DELAY_SECONDS))


def _store_well(fleet, subject):
    fleet.set_store_state(down=False, delay=0.0)


def _store_forgets(fleet, rng):
    fleet.set_store_state(forget=True)


def _store_turns_away(fleet, rng):
    proxy = fleet.store_proxies[_pick_gateway(fleet, rng)]
    proxy.refuses = True
    proxy.reset()
    return proxy


def _store_silent(fleet, rng):
    proxy = fleet.store_proxies[_pick_gateway(fleet, rng)]
    proxy.silence(*rng.choice((("in",), ("out",), ("in", "out"))))
    return proxy


def _link_well(fleet, proxy):
    proxy.refuses, proxy.delay, proxy.silent = False, 0.0, frozenset()


def _target_proxy(fleet, rng):
    return rng.choice(fleet.targets).proxy


def _link_delayed(fleet, rng):
    proxy = _target_proxy(fleet, rng)
    proxy.delay = rng.uniform(*DELAY_SECONDS)
    return proxy


def _link_reset(fleet, rng):
    proxy = _target_proxy(fleet, rng)
    proxy.reset()
    return proxy


def _link_cut(fleet, rng):
    proxy = _target_proxy(fleet, rng)
    proxy.refuses = True
    proxy.reset()
    return proxy


def _link_silent(fleet, rng):
    proxy = _target_proxy(fleet, rng)
    proxy.silence(*rng.choice((("in",), ("out",), ("in", "out"))))
    return proxy


def _target_crashes(fleet, rng):
    target = rng.choice(fleet.targets)
    with fleet.target_lock:
        target.crash()
        target.start()
    fleet.list_targets()


def _target_fails(fleet, rng):
    target = rng.choice(fleet.targets)
    target.failure = rng.choice(("reset", "500"))
    return target


def _target_slows(fleet, rng):
    target = rng.choice(fleet.targets)
    target.slowness = rng.uniform(2.0, 6.0)
    return target


def _target_well(fleet, target):
    target.failure, target.slowness = "", 1.0


def _target_leaves(fleet, rng):
    target = rng.choice(fleet.targets)
    fleet.list_targets(leaving=target)


def _targets_return(fleet, subject):
    fleet.list_targets()


def _key_revoked(fleet, rng):
    fleet.replace_key()


FAULT_BY_NAME = {
    "gateway killed": Fault(_kill, lambda fleet, process: fleet.restart(process)),
    "gateway stopped": Fault(_terminate, lambda fleet, process: fleet.restart(process)),
    "gateway paused": Fault(_pause, _resume),
    "gateway reloaded": Fault(_reload),
    "store down": Fault(_store_down, _store_well),
    "store slow": Fault(_store_slow, _store_well),
    "store forgets": Fault(_store_forgets),
    "store turns one away": Fault(_store_turns_away, _link_well),
    "store silent to one": Fault(_store_silent, _link_well),
    "link delayed": Fault(_link_delayed, _link_well),
    "link reset": Fault(_link_reset),
    "link cut": Fault(_link_cut, _link_well),
    "link silent": Fault(_link_silent, _link_well),
    "target crashes": Fault(_target_crashes),
    "target fails": Fault(_target_fails, _target_well),
    "target slow": Fault(_target_slows, _target_well),
    "target leaves": Fault(_target_leaves, _targets_return),
    "key revoked": Fault(_key_revoked),
}

# Tells faults of one name apart.
NUMBERS = itertools.count(1)


class Series:
    """One series of faults, one after the other; several of them overlap.

    Parameters
    ----------
    fleet : SoakFleet
    rng : random.Random
        Chooses the faults.
    """

    def __init__(self, fleet, rng):
        self.fleet, self.rng = fleet, rng
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopped.wait(self.rng.uniform(*PAUSE_SECONDS)):
            name = self.rng.choice(list(FAULT_BY_NAME))
            fault = FAULT_BY_NAME[name]
            label = f"{name} ({next(NUMBERS)})"
            self.fleet.begins(label)
            subject = fault.begin(self.fleet, self.rng)
            self.stopped.wait(self.rng.uniform(*LENGTH_SECONDS))
            fault.end(self.fleet, subject)
            self.fleet.ends(label)

    def stop(self):
        """End the series; the fault in progress ends first."""
        self.stopped.set()
        self.thread.join()


def wait_until(check, seconds):
    """Wait until a check holds; tell whether it did in time."""
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True
