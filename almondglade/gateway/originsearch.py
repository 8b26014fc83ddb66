"""Find out which software version began a stream that no gateway knows.

Load pattern: all gateways are lost at once while targets of several versions serve, and
hundreds of callers take their streams up again within a second. What gateways knew of
the streams is gone; the targets still keep the prompts that they read and what they
generated. Or one gateway is cut off while targets of another version join: what it
knows of the targets is older than the stream.
"""

import itertools
import math
import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from ..catalogue import TargetRecord
from ..errors import PlatformError
from ..log import get_logger
from ..placement.formerstarts import StartHistory
from ..placement.origins import infer_origin

log = get_logger("origins")

# A target's list serves all streams that are taken up within this time.
LIST_VALIDITY_SECONDS = 0.3
# Targets that are asked; with more of them, a loss of all gateways would make each ask
# hundreds, and a list delays the work of its target.
MAX_ASKED_TARGETS = 16


@dataclass
class Listing:
    """Tokens that a target keeps by part, None if it did not tell, and when."""

    tokens_by_part: Mapping[str, int] | None
    asked_at: float


class OriginSearch:
    """Asks targets for the prompt of a stream.

    Parameters
    ----------
    read_listed : callable
        Reads the `TargetRecord`s that the platform lists at present.
    known_targets : callable
        Returns the `TargetRecord`s of this gateway's last reading.
    read_parts : callable
        Takes a `TargetRecord` and returns the tokens that it keeps by part.
    clock : callable
        Returns monotonic seconds.
    read_history : callable
        Takes the listed targets and a number of seconds, and returns the
        `StartHistory` of that time.
    """

    def __init__(
        self,
        read_listed,
        known_targets,
        read_parts,
        clock,
        read_history: Callable[..., StartHistory] = lambda listed, age: StartHistory(),
    ):
        self.read_listed = read_listed
        self.known_targets = known_targets
        self.read_parts = read_parts
        self.clock = clock
        self.read_history = read_history
        self._asking = threading.Lock()
        # What the platform listed last, None if it did not tell, and since when.
        self._listed: list[TargetRecord] | None = None
        self._listed_since = float("-inf")
        # The history of what was listed last, None if it is not known, by its length.
        self._history_by_age: dict[float, StartHistory | None] = {}
        self._listing_by_incarnation: dict[tuple[str, int], Listing] = {}
        self._executor: ThreadPoolExecutor | None = None

    def infer(self, services, caller_headers, tokens_per_event, max_age=math.inf):
        """Return the `StreamOrigin` that the targets' memory proves, or None.

        All targets that may have begun the stream are asked, as another one may keep
        an earlier request of the same session.

        Parameters
        ----------
        services : collection of str
            Services that may have begun the stream.
        caller_headers : CallerHeaders
            Of the request that takes it up; it names the parts of its prompt.
        tokens_per_event : float
            Tokens in one event of the stream.
        max_age : float
            Longest time in seconds for which callers wait for a stream.
        """
        needed = tokens_of_origin(caller_headers, tokens_per_event)
        if needed is None:
            return None
        records, replaced = self._possible_targets(services, self.clock())
        if not 0 < len(records) <= MAX_ASKED_TARGETS:
            return None
        history = self._history(max_age)
        if history is None:
            return None
        own_part = caller_headers.prompt_parts[-1]
        kept_by_target = self._ask(records, own_part)
        holders = [r for r in records if (kept_by_target[r.id] or 0) >= needed]
        # A run that is broken off may leave less than the prompt, so that one that was
        # complete, whose response was lost, keeps more of it than the origin.
        doubtful = [
            r for r in records if kept_by_target[r.id] != 0 and r not in holders
        ]
        told = {r.incarnation for r in records if kept_by_target[r.id] is not None}
        ended = [
            start
            for start in history.possible_starts(
                oldest_age(caller_headers.time_limit or 0.0, max_age), holders
            )
            if _may_serve(start, services, told)
        ]
        origin = infer_origin(
            holders, [*doubtful, *replaced, *(start.record for start in ended)]
        )
        log.info(
            "targets asked for the prompt of a stream",
            request=caller_headers.request_id,
            prompt_part=own_part,
            needed=needed,
            prompt=caller_headers.last_part_tokens,
            kept={name: kept for name, kept in kept_by_target.items() if kept},
            silent=[name for name, kept in kept_by_target.items() if kept is None],
            replaced=[record.id for record in replaced],
            ended={start.target: start.version for start in ended},
            asked=len(records),
            version=origin.version if origin else None,
        )
        return origin

    def _possible_targets(self, services, requested_at):
        """Return the targets that may have begun a stream.

        Parameters
        ----------
        requested_at : float
            When the stream was taken up. A target that began it was listed before.

        Returns
        -------
        records : list of TargetRecord
            One for each target that may still run; empty if not all are known.
        replaced : list of TargetRecord
            Earlier starts of these targets, which keep nothing any more.
        """
        with self._asking:
            if self._listed_since < requested_at:
                self._listed_since = self.clock()
                self._listed = self._read_listed()
                self._history_by_age = {}
            listed = self._listed
        if listed is None:
            return [], []
        known = self.known_targets()
        record_by_target = {
            record.id: record
            for record in itertools.chain(known, listed)
            if record.service in services
        }
        replaced = [
            record
            for record in known
            if record.service in services
            and record.incarnation != record_by_target[record.id].incarnation
        ]
        return list(record_by_target.values()), replaced

    def _read_listed(self):
        try:
            return self.read_listed()
        except PlatformError as error:
            log.info("list of targets not read", cause=str(error))
            return None

    def _history(self, max_age):
        """Return the `StartHistory` of the last list, or None if it is not known."""
        with self._asking:
            if max_age not in self._history_by_age:
                self._history_by_age[max_age] = self._read_history(max_age)
            return self._history_by_age[max_age]

    def _read_history(self, max_age):
        try:
            return self.read_history(self._listed, max_age)
        except PlatformError as error:
            log.info("changes of the list of targets not read", cause=str(error))
            return None

    def _ask(self, records, part):
        """Return the tokens that targets keep of a part, by target.

        None stands for a target that did not tell.
        """
        with self._asking:
            now = self.clock()
            listings = self._listing_by_incarnation = {
                key: listing
                for key, listing in self._listing_by_incarnation.items()
                if now - listing.asked_at < LIST_VALIDITY_SECONDS
            }
            missing = [r for r in records if r.incarnation not in listings]
            if missing:
                if self._executor is None:
                    self._executor = ThreadPoolExecutor(MAX_ASKED_TARGETS)
                for record, parts in zip(
                    missing, self._executor.map(self._read, missing), strict=True
                ):
                    listings[record.incarnation] = Listing(parts, now)
            kept = {r.id: listings[r.incarnation].tokens_by_part for r in records}
        return {
            name: None if tokens_by_part is None else tokens_by_part.get(part, 0)
            for name, tokens_by_part in kept.items()
        }

    def _read(self, record):
        try:
            return self.read_parts(record)
        except PlatformError as error:
            log.info(
                "target did not tell its parts", target=record.id, cause=str(error)
            )
            return None


def oldest_age(time_limit, max_age):
    """Return the longest time in seconds since a stream can have begun.

    Parameters
    ----------
    time_limit : float
        What the caller states: the time that is left to it, or what it waits for each
        attempt.
    max_age : float
        Longest time for which callers wait for a stream.
    """
    if time_limit > max_age:
        # The caller waits for longer, which it does not tell.
        return math.inf
    return max(time_limit, max_age - time_limit)


def _may_serve(start, services, told):
    """Return whether a former start may have run requests of some services.

    Parameters
    ----------
    told : collection of (str, int)
        Incarnations of the targets that have told what they keep.
    """
    record = start.record
    return record is None or (
        record.service in services and record.incarnation not in told
    )


def tokens_of_origin(caller_headers, tokens_per_event):
    """Return how many tokens of the last part the origin of a stream keeps at least.

    It has read the whole prompt and generated the events that the caller got, of which
    the last may not be counted yet. None if the request does not tell.
    """
    last_event = caller_headers.last_event_id or ""
    if not caller_headers.prompt_parts or not caller_headers.last_part_tokens:
        return None
    if not (last_event.isascii() and last_event.isdigit()) or int(last_event) < 1:
        return None
    generated = (int(last_event) - 1) * tokens_per_event
    return caller_headers.last_part_tokens + max(1, int(generated))
