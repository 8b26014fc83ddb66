"""At most one run for each key while processes die and freeze and calls fail."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .keyfleet import Fleet

NAMES = ("e1", "e2", "e3")
WORKSPACES = ("partner-a", "partner-b")
LIST_AGES = (0.0, 10.0, 20.0)
MAX_DEPTH = 2
MAX_INTERRUPTIONS = 4
INTERRUPTIONS = ("send", "send", "kill", "freeze", "replace", "wake", "pass")
DISTURBANCES = ("kill", "freeze", "wake", "replace", "pass", "publish", "cut off")


class KeyedFleet(RuleBasedStateMachine):
    """Sends through any instance while others die, freeze and are replaced."""

    @initialize(size=st.integers(1, 3))
    def start(self, size):
        """Start a fleet whose processes have been up long enough to be witnesses."""
        self.fleet = Fleet(NAMES[:size])
        self.fleet.choose, self.fleet.on_step = self.choose, self.interrupt
        self.keys = [(workspace, "own") for workspace in WORKSPACES]
        self.current = self.keys[0]
        self.depth = 0
        self.random = None
        self.fleet.advance(400.0, 0.0)

    def choose(self, options):
        """Choose an outcome of the network or the target."""
        return self.random.choice(options)

    def node(self):
        """Choose the current process of some name."""
        return self.fleet.by_name[self.random.choice(sorted(self.fleet.by_name))]

    def anyone(self):
        """Choose a process, including one that has been replaced under its name."""
        return self.random.choice([*self.fleet.by_name.values(), *self.fleet.zombies])

    def interrupt(self):
        """Disturb the fleet in the middle of a step, with a probability of 0.25."""
        if self.depth >= MAX_DEPTH or self.interruptions >= MAX_INTERRUPTIONS:
            return
        if self.random.random() < 0.75:
            return
        self.interruptions += 1
        self.depth += 1
        try:
            self.do(self.random.choice(INTERRUPTIONS))
        finally:
            self.depth -= 1

    def do(self, what):
        """Apply a disturbance to the fleet."""
        match what:
            case "send":
                self.fleet.send(self.anyone(), *self.current)
            case "kill":
                self.anyone().alive = False
            case "freeze":
                node = self.anyone()
                node.frozen_at = node.frozen_at or self.fleet.now
            case "cut off":
                self.node().list_unreachable ^= True
            case "wake":
                self.fleet.wake(self.anyone())
            case "replace":
                self.fleet.start(self.node().own.instance)
                self.fleet.publish()
            case "pass":
                seconds = self.random.choice((1.0, 6.0, 50.0))
                self.fleet.advance(seconds, self.random.choice(LIST_AGES))
            case "publish":
                self.fleet.publish()

    def begin(self, random):
        """Set the random generator and reset the interruptions of a rule."""
        self.random, self.interruptions = random, 0

    @rule(
        random=st.randoms(use_true_random=False), workspace=st.sampled_from(WORKSPACES)
    )
    def issue(self, random, workspace):
        """Obtain an issued key from a process that is up."""
        self.begin(random)
        node = self.node()
        if node.alive and node.frozen_at is None:
            self.keys += [(workspace, key) for key in node.keyed.issue(workspace, 1)]

    @rule(random=st.randoms(use_true_random=False), times=st.integers(1, 3))
    def send(self, random, times):
        """Send and resend a request under one key, through any processes."""
        self.begin(random)
        self.current = random.choice([*self.keys[:2], *self.keys[-2:]])
        for _ in range(times):
            self.fleet.send(self.anyone(), *self.current)

    @rule(
        random=st.randoms(use_true_random=False),
        what=st.sampled_from(DISTURBANCES),
    )
    def disturb(self, random, what):
        """Disturb the fleet between sends."""
        self.begin(random)
        self.do(what)

    @rule(random=st.randoms(use_true_random=False), gap=st.sampled_from((0.0, 30.0)))
    def replace_all(self, random, gap):
        """Replace all processes of the fleet, one after another."""
        self.begin(random)
        for name in sorted(self.fleet.by_name):
            self.fleet.by_name[name].alive = False
            self.fleet.start(name)
            self.fleet.publish()
            self.fleet.advance(gap, random.choice(LIST_AGES))


KeyedFleet.TestCase.settings = settings(max_examples=300, stateful_step_count=25)
TestKeyedFleet = KeyedFleet.TestCase
