"""A small fleet in memory: real key classes, a fake network, list and target."""

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
FATES = ("deliver", "deliver", "deliver", "drop", "cut", "late", "duplicate")
ENDINGS = ("answer", "answer", "not-run", "broken", "cut", "crash")


class DiedError(BaseException):
    """The process that was acting has been killed."""


class FakeRun:
    """Chunks of an answer, then an error or the end."""

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
    """One process; it is its own `Peers` and its own target-side scheduler."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.own = Holder(name, incarnation)
        self.alive, self.frozen_at, self.inbox = True, None, []
        self.view: dict = {name: self.own}
        self.cut_off = False
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
        """Tell whether the platform would list it."""
        paused = 0.0 if self.frozen_at is None else self.fleet.now - self.frozen_at
        return self.alive and paused <= MAX_LIST_AGE_SECONDS

    def run(self, request):
        """Dispatch a request, as the scheduler does."""
        fleet, scoped_key = self.fleet, ScopedKey(request.workspace, request.key)
        self.step()
        ending = fleet.choose(ENDINGS)
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
        """Return the peers on the list as read."""
        return {name for name, holder in self.view.items() if holder != self.own}

    def is_gone(self, name):
        """Tell whether a peer is not on the list as read."""
        return name not in self.names()

    def claim(self, names, proposal):
        """Gather votes."""
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
        """Let a peer act, as the network has it.

        A forwarded request that arrives twice counts as two sends, for TCP
        delivers none twice.
        """
        self.step()
        peer, fate = self.fleet.by_name.get(name), self.fleet.choose(FATES)
        if peer is None or not peer.alive or fate == "drop":
            raise PeerError("dropped")
        if fate == "late" or peer.frozen_at is not None:
            peer.inbox.append(act)
            raise PeerError("silent")
        reply, error = self.fleet.act(peer, act)
        if fate == "duplicate":
            self.fleet.open_sends[forwarded] += 1
            self.fleet.act(peer, act)
        self.step()
        if fate == "cut" or (reply is None and error is None):
            raise PeerError("the reply was lost")
        if error is not None:
            raise error
        return reply

    def step(self):
        """Let others act in the middle of what this process does."""
        self.fleet.meanwhile()
        if not self.alive:
            raise DiedError

    def read_list(self, age):
        """Take in the list as it was some seconds ago."""
        asked = self.listing.record_attempt()
        if self.cut_off:
            return
        version, listed = self.fleet.list_at(age)
        self.view = {self.own.instance: self.own} | listed
        self.listing.record_list(asked, self.own in listed.values(), version)


class Fleet:
    """Processes by name, the platform's list and the target's ledger."""

    def __init__(self, names):
        self.now = 1000.0
        self.choose = self.meanwhile = None
        self.depth = 0
        self.first_sent: dict = {}
        self.runs: Counter = Counter()
        self.open_sends: Counter = Counter()
        self.by_name: dict = {}
        self.zombies: list = []
        self.serial = 0
        for name in names:
            self.start(name)
        self.history = [(0.0, {n: node.own for n, node in self.by_name.items()})]

    def clock(self):
        """Return the time, which all processes share."""
        return self.now

    def start(self, name):
        """Start a process under a name; a frozen former one lives on."""
        former = self.by_name.get(name)
        if former is not None and former.alive:
            self.zombies.append(former)
        self.serial += 1
        self.by_name[name] = Node(self, name, f"{self.serial:x}")

    def publish(self):
        """Bring the list up to date."""
        listed = {n: d.own for n, d in self.by_name.items() if d.is_healthy()}
        if listed != self.history[-1][1]:
            self.history.append((self.now, listed))

    def list_at(self, age):
        """Return version and list as they were published some seconds ago."""
        known = [n for n, (at, _) in enumerate(self.history) if at <= self.now - age]
        return known[-1], self.history[known[-1]][1]

    def act(self, node, act):
        """Let a process act; return its reply and its error, None if it died."""
        try:
            return act(node), None
        except RequestError as error:
            return None, error
        except (DiedError, KeyError):
            return None, None

    def dispatched(self, scoped_key):
        """Count a run at the target; no key may run twice."""
        if self._is_protected(scoped_key):
            assert not self.runs[scoped_key], f"{scoped_key} ran twice"
        else:
            # The window has passed: the key may be used afresh.
            self.first_sent[scoped_key] = self.now
        assert self.open_sends[scoped_key], (
            f"{scoped_key} runs after all sends were told not run"
        )
        self.runs[scoped_key] += 1

    def send(self, node, workspace, key, body=b"a pickup"):
        """Send a request to one process and check what it is told."""
        if not node.alive or node.frozen_at is not None:
            return None
        scoped_key = ScopedKey(workspace, key)
        self.first_sent.setdefault(scoped_key, self.now)
        ran_before = self.runs[scoped_key] and self._is_protected(scoped_key)
        self.open_sends[scoped_key] += 1
        request = IncomingRequest(
            "r", workspace, 0, "bookings", "POST", "/pickups", "", (), body, key
        )
        try:
            run = node.keyed.run_keyed(request, may_forward=True)
            text = b"".join(run).decode()
        except RequestError as error:
            told = error.outcome
            if told is Outcome.NOT_RUN:
                self.open_sends[scoped_key] -= 1
                self._check_not_run(scoped_key, ran_before, error)
            return error
        except (DiedError, KeyError):
            return None
        assert text == f"{workspace} {key}"
        assert self.runs[scoped_key], f"{scoped_key} was answered, but did not run"
        return run

    def _is_protected(self, scoped_key):
        since = self.now - self.first_sent.get(scoped_key, self.now)
        return scoped_key.key.startswith("agk1:") or since <= WINDOW

    def _check_not_run(self, scoped_key, ran_before, error):
        """Check that nothing had run, and that what ran since was another send."""
        assert error.code is Code.KEY_REUSED or not ran_before, (
            f"{scoped_key}, told {error}"
        )
        assert self.open_sends[scoped_key] or not self.runs[scoped_key], (
            f"{scoped_key}, told {error}"
        )

    def advance(self, seconds, age):
        """Let time pass; processes that are not frozen read the list meanwhile."""
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
        """Let a process go on, first with what has waited for it."""
        node.frozen_at = None
        inbox, node.inbox = node.inbox, []
        for act in inbox:
            if node.alive:
                self.act(node, act)
