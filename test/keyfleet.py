"""A simulated fleet in memory: real key classes, a fake network, list and target."""

from collections import Counter

from almondglade.dispatch.call import ResponseHead
from almondglade.errors import PeerError
from almondglade.keys.claiming import Claimant, Voter
from almondglade.keys.claims import ClaimTable
from almondglade.keys.codec import Holder, KeyCodec, key_void_error
from almondglade.keys.listing import MAX_LIST_AGE_SECONDS, Listing
from almondglade.keys.scheduling import KeyedScheduler
from almondglade.keys.table import KeyTable, ScopedKey
from almondglade.kinds import IncomingRequest
from almondglade.outcome import Code, Outcome, RequestError

WINDOW = 100.0
LIST_LAG = 20.0
DELIVERIES = ("deliver", "deliver", "deliver", "drop", "cut", "late", "duplicate")
RUN_ENDINGS = ("answer", "answer", "not-run", "broken", "cut", "crash")


class ProcessKilledError(BaseException):
    """The process was killed while it was handling a call."""


class FakeRun:
    """A run that yields response chunks and then ends or raises an error."""

    def __init__(self, chunks):
        self.head = ResponseHead(200, (("Content-Type", "text/plain"),))
        self._chunks = iter(chunks)

    def __iter__(self):
        return self

    def __next__(self):
        chunk = next(self._chunks)
        if isinstance(chunk, RequestError):
            raise chunk
        return chunk

    def close(self):
        """Do nothing."""


class Node:
    """A process that also serves as its own `Peers` and its own scheduler."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.own = Holder(name, incarnation)
        self.alive, self.frozen_at, self.inbox = True, None, []
        self.view: dict = {name: self.own}
        self.list_unreachable = False
        self.listing = Listing(fleet.clock)
        self.claims = ClaimTable(self.own, fleet.clock, WINDOW)
        self.voter = Voter(self.claims, self)
        self.table = KeyTable(fleet.clock)
        self.keyed = KeyedScheduler(
            self,
            KeyCodec("a secret of the fleet", self.own, fleet.clock),
            self.table,
            Claimant(self.voter, self, LIST_LAG),
            self,
        )

    def is_healthy(self):
        """Return whether the platform would list this process."""
        paused = 0.0 if self.frozen_at is None else self.fleet.now - self.frozen_at
        return self.alive and paused <= MAX_LIST_AGE_SECONDS

    def run(self, request):
        """Dispatch a request, as the real scheduler does."""
        fleet, scoped_key = self.fleet, ScopedKey(request.workspace, request.key)
        self.step()
        ending = fleet.choose(RUN_ENDINGS)
        if ending == "not-run":
            raise RequestError(Code.NO_TARGET, "none", Outcome.NOT_RUN, 1.0)
        fleet.dispatched(scoped_key)
        self.step()
        broken = RequestError(Code.TARGET_FAILED, "broken", Outcome.UNKNOWN, 0.0)
        if ending == "broken":
            raise broken
        if ending == "crash":
            raise KeyError("a fault of the program")
        body = f"{scoped_key.workspace} {scoped_key.key}".encode()
        return FakeRun([body[:5], broken] if ending == "cut" else [body[:5], body[5:]])

    def names(self):
        """Return the peers on the list that this process has read."""
        return {name for name, holder in self.view.items() if holder != self.own}

    def is_gone(self, name):
        """Return whether a peer is missing from the list that this process has read."""
        return name not in self.names()

    def claim(self, names, proposal):
        """Collect the votes of peers on a claim."""
        scoped_key = ScopedKey(proposal.workspace, proposal.key)
        votes = {}
        for name in sorted(names):
            try:
                votes[name] = self.send(
                    name, lambda n: n.voter.vote(scoped_key, proposal)
                )
            except PeerError:
                continue
        return votes

    def forward(self, holder, request):
        """Have a request run by the holder of its key."""

        def serve(node):
            if node.own != holder:
                raise key_void_error("replaced")
            return node.keyed.run_keyed(request)

        return self.send(
            holder.instance, serve, ScopedKey(request.workspace, request.key)
        )

    def send(self, name, act, forwarded=None):
        """Call a function at a peer, with a randomly chosen delivery.

        A forwarded request that arrives twice counts as two sends, because TCP
        itself delivers nothing twice.
        """
        self.step()
        peer, delivery = self.fleet.by_name.get(name), self.fleet.choose(DELIVERIES)
        if peer is None or not peer.alive or delivery == "drop":
            raise PeerError("dropped")
        if delivery == "late" or peer.frozen_at is not None:
            peer.inbox.append(act)
            raise PeerError("silent")
        reply, error = self.fleet.act(peer, act)
        if delivery == "duplicate":
            self.fleet.unrefused_sends[forwarded] += 1
            self.fleet.act(peer, act)
        self.step()
        if delivery == "cut" or (reply is None and error is None):
            raise PeerError("the reply was lost")
        if error is not None:
            raise error
        return reply

    def step(self):
        """Let other processes act in the middle of an operation of this process."""
        self.fleet.on_step()
        if not self.alive:
            raise ProcessKilledError

    def read_list(self, age):
        """Read the list as published `age` seconds ago."""
        attempted_at = self.listing.record_attempt()
        if self.list_unreachable:
            return
        version, listed = self.fleet.list_at(age)
        self.view = {self.own.instance: self.own} | listed
        self.listing.record_list(attempted_at, self.own in listed.values(), version)


class Fleet:
    """All processes, the platform's list and a count of the runs at the target."""

    def __init__(self, names):
        self.now = 1000.0
        self.choose = self.on_step = None
        self.depth = 0
        self.first_sent: dict = {}
        self.runs: Counter = Counter()
        self.unrefused_sends: Counter = Counter()
        self.by_name: dict = {}
        self.zombies: list = []
        self.serial = 0
        for name in names:
            self.start(name)
        self.history = [(0.0, {n: node.own for n, node in self.by_name.items()})]

    def clock(self):
        """Return the simulated time, which all processes share."""
        return self.now

    def start(self, name):
        """Start a process under a name; a previous one that is alive keeps running."""
        previous = self.by_name.get(name)
        if previous is not None and previous.alive:
            self.zombies.append(previous)
        self.serial += 1
        self.by_name[name] = Node(self, name, f"{self.serial:x}")

    def publish(self):
        """Publish a new version of the list if the listed processes have changed."""
        listed = {n: d.own for n, d in self.by_name.items() if d.is_healthy()}
        if listed != self.history[-1][1]:
            self.history.append((self.now, listed))

    def list_at(self, age):
        """Return the version and the list as published `age` seconds ago."""
        known = [n for n, (at, _) in enumerate(self.history) if at <= self.now - age]
        return known[-1], self.history[known[-1]][1]

    def act(self, node, act):
        """Call a function at a process and return its reply and its error.

        Both are None if the process died.
        """
        try:
            return act(node), None
        except RequestError as error:
            return None, error
        except (ProcessKilledError, KeyError):
            return None, None

    def dispatched(self, scoped_key):
        """Count a run at the target and check that no protected key runs twice."""
        if self._is_protected(scoped_key):
            assert not self.runs[scoped_key], f"{scoped_key} ran twice"
        else:
            # The window has passed, so the key may be used again.
            self.first_sent[scoped_key] = self.now
        assert self.unrefused_sends[scoped_key], (
            f"{scoped_key} runs although all sends were refused as not run"
        )
        self.runs[scoped_key] += 1

    def send(self, node, workspace, key, body=b"a pickup"):
        """Send a request to a process and check its response or error."""
        if not node.alive or node.frozen_at is not None:
            return None
        scoped_key = ScopedKey(workspace, key)
        self.first_sent.setdefault(scoped_key, self.now)
        ran_before = self.runs[scoped_key] and self._is_protected(scoped_key)
        self.unrefused_sends[scoped_key] += 1
        request = IncomingRequest(
            "r", workspace, 0, "bookings", "POST", "/pickups", "", (), body, key
        )
        try:
            run = node.keyed.run_keyed(request, may_forward=True)
            text = b"".join(run).decode()
        except RequestError as error:
            outcome = error.outcome
            if outcome is Outcome.NOT_RUN:
                self.unrefused_sends[scoped_key] -= 1
                self._check_not_run(scoped_key, ran_before, error)
            return error
        except (ProcessKilledError, KeyError):
            return None
        assert text == f"{workspace} {key}"
        assert self.runs[scoped_key], f"{scoped_key} was answered, but did not run"
        return run

    def _is_protected(self, scoped_key):
        since = self.now - self.first_sent.get(scoped_key, self.now)
        return scoped_key.key.startswith("agk1:") or since <= WINDOW

    def _check_not_run(self, scoped_key, ran_before, error):
        """Check that no earlier send ran, and that any later run was another send's."""
        assert error.code is Code.KEY_REUSED or not ran_before, (
            f"{scoped_key}, refused with {error}"
        )
        assert self.unrefused_sends[scoped_key] or not self.runs[scoped_key], (
            f"{scoped_key}, refused with {error}"
        )

    def advance(self, seconds, age):
        """Advance the clock while processes that are not frozen read the list."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + MAX_LIST_AGE_SECONDS / 2)
            for node in self.running():
                node.read_list(age)

    def running(self):
        """Return the processes that are neither dead nor frozen."""
        return [
            node
            for node in [*self.by_name.values(), *self.zombies]
            if node.alive and node.frozen_at is None
        ]

    def wake(self, node):
        """Resume a frozen process, which first handles its queued calls."""
        node.frozen_at = None
        inbox, node.inbox = node.inbox, []
        for act in inbox:
            if node.alive:
                self.act(node, act)
