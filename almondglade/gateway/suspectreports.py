"""Convert suspects into reports to peers and back, as clocks differ between them."""

from ..gossip.messages import CrashEvidence, SuspectEvidence, SuspectReport
from ..placement.suspects import NEVER, Crash

# Keeps a message within one packet.
MAX_SUSPECTS_PER_REPORT = 4


def make_reports(instance, suspect_by_fingerprint, now):
    """Return the `SuspectReport`s of some suspects.

    Parameters
    ----------
    instance : str
        The sender.
    suspect_by_fingerprint : dict of int to Suspect
    now : float
        Monotonic time.
    """
    evidence = [
        to_ages(fingerprint, suspect, now)
        for fingerprint, suspect in suspect_by_fingerprint.items()
    ]
    return [
        SuspectReport(
            instance, tuple(evidence[start : start + MAX_SUSPECTS_PER_REPORT])
        )
        for start in range(0, len(evidence), MAX_SUSPECTS_PER_REPORT)
    ]


def to_ages(fingerprint, suspect, now):
    """Return the `SuspectEvidence` of a `Suspect`, as clocks differ between peers."""
    return SuspectEvidence(
        fingerprint,
        tuple(
            CrashEvidence(
                crash.target,
                crash.target_started_at,
                now - crash.started_at,
                now - crash.ended_at,
            )
            for crash in suspect.crashes
        ),
        None if suspect.cleared_at == NEVER else now - suspect.cleared_at,
    )


def to_times(evidence, sent_at):
    """Return the crashes and the time of the last completed run of a peer's evidence.

    Parameters
    ----------
    evidence : SuspectEvidence
    sent_at : float
        Monotonic time at which its ages were true.

    Returns
    -------
    crashes : list of Crash
    cleared_at : float
        Monotonic time; minus infinity if the peer knows of no completed run.
    """
    crashes = [
        Crash(
            crash.target,
            crash.target_started_at,
            sent_at - crash.started_age,
            sent_at - crash.ended_age,
        )
        for crash in evidence.crashes
    ]
    cleared_age = evidence.cleared_age
    return crashes, NEVER if cleared_age is None else sent_at - cleared_age
