"""Translate between waiting requests and what messages to peers say of them."""

from ..gossip.messages import ExpectedWait, WaitingRequest
from ..placement.places import Ticket

# Largest remaining time that is reported, as a deadline may be infinite.
MAX_TIME_LEFT_SECONDS = 3600.0


def waiting_request(ticket, now):
    """Return the `WaitingRequest` that reports a `Ticket` of this instance."""
    return WaitingRequest(
        ticket.number,
        ticket.service,
        ticket.tier,
        now - ticket.arrived_at,
        tuple(ticket.attempted_targets),
        ticket.coordinator,
        ticket.expected_events,
        min(ticket.deadline - now, MAX_TIME_LEFT_SECONDS),
        ticket.cell_data_centre,
        ticket.isolated_fingerprint,
        ticket.version,
        ticket.workspace,
        ticket.tokens,
        ticket.start_by - now,
        ticket.return_fingerprint if ticket.may_be_return else 0,
    )


def tickets_from(report, said_at):
    """Yield the `Ticket` of each request that waits at a peer, by its `Report`."""
    for entry in report.waiting:
        yield Ticket(
            entry.service,
            entry.tier,
            said_at - entry.age,
            frozenset(entry.attempted_targets),
            owner=report.instance,
            data_centre=report.data_centre,
            expected_events=entry.expected_events,
            deadline=said_at + entry.time_left,
            number=entry.number,
            coordinator=entry.coordinator,
            cell_data_centre=entry.cell_data_centre,
            isolated_fingerprint=entry.isolated_fingerprint,
            version=entry.version,
            workspace=entry.workspace,
            tokens=entry.tokens,
            start_by=said_at + entry.start_within,
            return_fingerprint=entry.return_fingerprint,
            may_be_return=bool(entry.return_fingerprint),
        )


def expected_waits(cell, tier, waits, workspaces):
    """Return what a peer is told of the waits of one tier in one cell.

    Parameters
    ----------
    waits : TierWaits
    workspaces : set of str
        Workspaces whose requests wait at the peer.

    Returns
    -------
    list of ExpectedWait
        The first applies to all workspaces but those of the others. A peer of an
        earlier release, whose requests have no workspace, applies it to all.
    """
    plain = waits.of("") if "" in workspaces else waits.plain
    return [
        ExpectedWait(cell.service, cell.data_centre, tier, plain),
        *(
            ExpectedWait(cell.service, cell.data_centre, tier, wait, workspace)
            for workspace in sorted(workspaces)
            if (wait := waits.of(workspace)) != plain
        ),
    ]
