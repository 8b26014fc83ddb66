"""Replays loads of several workspaces on the `Pools` of a small fleet."""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, replace

from almondglade.catalogue import WorkspaceTerms
from almondglade.placement.cells import Cell
from almondglade.placement.places import PeerLoad

from .placing import SERVICE, make_pools, record, ticket

MAX_WAIT_SECONDS = 0.7
CELL = Cell(SERVICE, "")


@dataclass(frozen=True)
class Stream:
    """Evenly spaced requests of one workspace at one instance.

    Parameters
    ----------
    rate : float
        Requests per second from `begins` on.
    tokens : tuple of int
        Sizes of its requests, in turn; each runs for a time in proportion.
    """

    workspace: str
    rate: float
    tokens: tuple[int, ...] = (500,)
    instance: str = "e1"
    begins: float = 0.0


def terms(names, rate=10.0):
    """Return the terms of workspaces with equal allowances."""
    return [WorkspaceTerms(name, rate=rate) for name in names]


def make_fleet(instances, slots, workspaces):
    """Return the `Pools` by instance of a fleet that knows some workspaces."""
    pools_by_instance = {
        name: make_pools(
            *(record(f"t{number}", slots=6) for number in range(slots // 6)),
            instance=name,
            others=instances,
        )
        for name in instances
    }
    for pools in pools_by_instance.values():
        pools.shares.configure(workspaces)
    return pools_by_instance


def exchange_reports(pools_by_instance, now):
    """Tell every instance what the others run and hold in their queues."""
    for sender, receiver in itertools.permutations(pools_by_instance.values(), 2):
        load = PeerLoad(
            now,
            sender.running_here(),
            tuple(replace(entry) for entry in sender.waiting_here()),
            sender.latest_grant_by_coordinator.get(receiver.instance, 0),
        )
        receiver.fleet.update(sender.instance, load)
        sender.record_answer(receiver.instance, now)
        if sender.coordinator(CELL, now) == sender.instance:
            for name, wait in sender.own_waits(CELL, (0, 0), now).items():
                receiver.cell_reports.record_wait(CELL, (0, 0), wait, now, name)


def replay(pools_by_instance, streams, seconds, seconds_per_token, lost=()):
    """Send the requests of streams; return when each served one got its slot.

    Parameters
    ----------
    lost : tuple of (float, str)
        When an instance is lost, and which; empty for none. It has no callers.

    Returns
    -------
    list of (float, str, int)
        Time, workspace and tokens of each served request, and the same list of all.
    """
    numbers = itertools.count()
    events = [
        (stream.begins + (step + index / len(streams)) / stream.rate, next(numbers), s)
        for index, stream in enumerate(streams)
        for step in range(int(stream.rate * (seconds - stream.begins)))
        for s in [(stream, stream.tokens[step % len(stream.tokens)])]
    ]
    heapq.heapify(events)
    if lost:
        heapq.heappush(events, (lost[0], next(numbers), lost[1]))
    served, sent = [], []
    while events:
        now, _, event = heapq.heappop(events)
        if now > seconds:
            break
        if isinstance(event, str):
            del pools_by_instance[event]
            for pools in pools_by_instance.values():
                pools.fleet.remove(event)
                pools.coordinators.instances = sorted(pools_by_instance)
                pools.reassign_waiting(now)
        elif isinstance(event[0], Stream):
            stream, tokens = event
            sent.append((now, stream.workspace, tokens))
            pools = pools_by_instance[stream.instance]
            if pools.expected_wait(SERVICE, (0, 0), now, stream.workspace) <= (
                MAX_WAIT_SECONDS
            ):
                entry = ticket(
                    arrived_at=now, workspace=stream.workspace, tokens=tokens
                )
                pools.enqueue(entry, now)
                expiry = (now + MAX_WAIT_SECONDS, next(numbers), (pools, entry, False))
                heapq.heappush(events, expiry)
        else:
            pools, entry, has_run = event
            if has_run:
                pools.release(entry, entry.tokens * seconds_per_token, now)
            else:
                pools.withdraw(entry)
        exchange_reports(pools_by_instance, now)
        for pools in list(pools_by_instance.values()):
            for granted, number in pools.match(now):
                owner = pools_by_instance[granted.owner]
                entry = granted
                if number:
                    entry = owner.apply_grant(
                        pools.instance, number, granted.number, granted.target
                    )
                served.append((now, entry.workspace, entry.tokens))
                end = now + entry.tokens * seconds_per_token
                heapq.heappush(events, (end, next(numbers), (owner, entry, True)))
    return served, sent


def work_by_workspace(served, begins=0.0):
    """Return the tokens served from some time on, by workspace."""
    work = Counter()
    for at, workspace, tokens in served:
        work[workspace] += tokens * (at >= begins)
    return work
