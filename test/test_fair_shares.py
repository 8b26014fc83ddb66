"""Fair shares of slots among workspaces, by replays of the loads that call for them."""

import random
from collections import Counter
from types import SimpleNamespace

import msgpack
import pytest

from almondglade.catalogue import WorkspaceTerms
from almondglade.gateway.waitingreports import expected_waits
from almondglade.gossip.codec import decode, encode
from almondglade.gossip.messages import Grants, Report, WaitingRequest
from almondglade.placement.cells import Cell
from almondglade.placement.coordination import InstanceInfo
from almondglade.placement.outlook import TierWaits
from almondglade.placement.shareaccounts import OVER_SHARE_RATIO
from almondglade.placement.shares import FairShares, weights_by_workspace

from .placing import record, ticket
from .sharing import Stream, make_fleet, replay, terms, work_by_workspace
from .test_cells import make_exchange

NAMES = [f"w{number}" for number in range(16)]
FLOODER = NAMES[-1]
SLOTS = 24
SECONDS = 16.0
# The first seconds fill the slots and the queues.
MEASURED_FROM = 4.0
SECONDS_PER_TOKEN = 1e-3
# The largest tenth takes seven times as long as the others.
MIXED_TOKENS = (*[400] * 9, 2800)
CAPACITY = SLOTS / SECONDS_PER_TOKEN * (SECONDS - MEASURED_FROM)
FAIR_SHARE = CAPACITY / len(NAMES)
# Requests per second of 500 tokens each that are 150% of the capacity together, with
# one workspace at 7 times the rate of the others.
USUAL_RATE = 1.5 * SLOTS / (500 * SECONDS_PER_TOKEN) / (len(NAMES) - 1 + 7)


def streams(flood=7.0, tokens=(500,), instances=("e1",), step=0):
    """Return a stream for each workspace; `step` staggers the sizes between them."""
    size = sum(tokens) / len(tokens) / 500
    return [
        Stream(
            name,
            USUAL_RATE / size * (flood if name == FLOODER else 1.0),
            tokens[step * number % len(tokens) :]
            + tokens[: step * number % len(tokens)],
            # The flood is on one instance alone, which has few other callers.
            instances[0 if name in (FLOODER, NAMES[0]) else -1],
        )
        for number, name in enumerate(NAMES)
    ]


def play(fleet, load, lost=()):
    served, sent = replay(fleet, load, SECONDS, SECONDS_PER_TOKEN, lost)
    return work_by_workspace(served, MEASURED_FROM), served, sent


@pytest.mark.parametrize(
    ("instances", "callers", "lost"),
    [
        (("e1",), ("e1",), ()),
        (("e1", "e2"), ("e1", "e2"), ()),
        (("e1", "e2", "e3"), None, (8.0,)),
    ],
    ids=["one instance", "flood on one of two", "coordinator replaced"],
)
def test_a_flood_at_150_percent_of_capacity_leaves_the_others_their_share(
    instances, callers, lost
):
    works = []
    for flood in (1.0, 7.0):
        fleet = make_fleet(instances, SLOTS, terms(NAMES))
        coordinator = fleet["e1"].coordinator(Cell("drafts", ""), 0.0)
        others = callers or tuple(name for name in instances if name != coordinator)
        loss = (*lost, coordinator) if lost else ()
        works.append(play(fleet, streams(flood, instances=others), loss)[0])
    calm, flooded = works
    for name in NAMES[:-1]:
        assert flooded[name] >= 0.9 * min(calm[name], FAIR_SHARE), name
    rest = CAPACITY - sum(flooded[name] for name in NAMES[:-1])
    assert flooded[FLOODER] >= 0.9 * rest


@pytest.mark.parametrize("step", [0, 1], ids=["in step", "staggered"])
def test_large_prompts_in_a_flood_are_served_half_as_often_as_all(step):
    fleet = make_fleet(("e1",), SLOTS, terms(NAMES))
    _, served, sent = play(fleet, streams(tokens=MIXED_TOKENS, step=step))
    served_by_size = Counter(tokens for _, _, tokens in served)
    sent_by_size = Counter(tokens for _, _, tokens in sent)
    share = served_by_size[max(MIXED_TOKENS)] / sent_by_size[max(MIXED_TOKENS)]
    assert share >= 0.5 * len(served) / len(sent)


def test_a_flood_of_mixed_sizes_leaves_the_others_their_share():
    calm, flooded = (
        play(
            make_fleet(("e1",), SLOTS, terms(NAMES)),
            streams(flood, MIXED_TOKENS, step=1),
        )[0]
        for flood in (1.0, 7.0)
    )
    for name in NAMES[:-1]:
        assert flooded[name] >= 0.9 * min(calm[name], FAIR_SHARE), name


def test_a_prompt_larger_than_a_round_of_shares_is_passed_by_a_bounded_number():
    shares = FairShares()
    shares.configure(terms(["large", "small"]))
    waiting = [
        ticket(arrived_at=n / 100, workspace="small", tokens=100, number=n)
        for n in range(90)
    ]
    waiting += [
        ticket(arrived_at=1.0 + n, workspace="large", tokens=2800, number=n)
        for n in range(3)
    ]
    order = [entry.workspace for entry in shares.arrange(Cell("drafts", ""), waiting)]
    turns = [place for place, name in enumerate(order) if name == "large"]
    assert turns[0] <= 1
    assert all(b - a <= 2800 / 100 + 1 for a, b in zip(turns, turns[1:], strict=False))


def test_a_workspace_alone_gets_all():
    fleet = make_fleet(("e1",), SLOTS, terms(NAMES))
    work, _, _ = play(fleet, [Stream(FLOODER, 2 * SLOTS / 0.5)])
    assert work[FLOODER] >= 0.95 * CAPACITY


def test_an_idle_workspace_returns_to_its_share_without_credit_for_the_past():
    fleet = make_fleet(("e1",), SLOTS, terms(NAMES[:4]))
    rate = SLOTS / 0.5 / 2
    load = [Stream(name, rate, begins=8.0 * (name == NAMES[0])) for name in NAMES[:4]]
    _, served, _ = play(fleet, load)
    for begins, ends in ((8.0, 10.0), (10.0, SECONDS)):
        work = work_by_workspace([one for one in served if one[0] < ends], begins)
        share = sum(work.values()) / 4
        assert 0.9 * share <= work[NAMES[0]] <= 1.1 * share


def test_shares_follow_allowances_of_the_same_unit():
    weights = weights_by_workspace(
        [
            WorkspaceTerms("a", rate=30.0),
            WorkspaceTerms("b", rate=10.0),
            WorkspaceTerms("c", rate=9000.0, counts_tokens=True),
            WorkspaceTerms("d"),
        ]
    )
    assert weights == {"a": 1.5, "b": 0.5, "c": 1.0, "d": 1.0}
    fleet = make_fleet(("e1",), SLOTS, terms(["a"], 30.0) + terms(["b"], 10.0))
    rate = SLOTS / 0.5
    work, _, _ = play(fleet, [Stream("a", rate), Stream("b", rate)])
    assert work["a"] == pytest.approx(3 * work["b"], rel=0.1)


def former_order(waiting, slots):
    """Return the order of the release before shares, with nothing running."""
    left = sorted(waiting, key=lambda entry: entry.rank)
    while left:
        heads = {}
        for entry in left:
            heads.setdefault(entry.route_tier, entry)
        best = min(heads.values(), key=lambda entry: (slots <= 0, entry.rank))
        left.remove(best)
        yield best


@pytest.mark.parametrize("names", [[], ["w0"], ["w0", "w0"]])
def test_the_order_is_that_of_arrival_without_several_workspaces(names):
    rng = random.Random(3)
    waiting = [
        ticket(
            (rng.randrange(2), rng.randrange(2)),
            rng.choice([0.1, 0.2, 0.3]),
            number=n,
            owner=rng.choice(["e1", "e2"]),
            workspace=rng.choice(["w0", ""]),
            tokens=rng.randrange(3000),
        )
        for n in range(60)
    ]
    pools = make_fleet(("e1",), SLOTS, terms(names))["e1"]
    cell = Cell("drafts", "")
    order = pools._order(cell, pools.targets.usable(cell, 0.0), 0.0)
    assert list(order.sort(waiting)) == list(former_order(waiting, SLOTS))


def test_requests_of_earlier_releases_keep_the_part_that_they_have_by_number():
    shares = FairShares()
    shares.configure(terms(NAMES))
    waiting = [
        ticket(arrived_at=n / 100, number=n, workspace="" if n % 2 else NAMES[n % 16])
        for n in range(160)
    ]
    first = list(shares.arrange(Cell("drafts", ""), waiting))[:80]
    assert sum(not entry.workspace for entry in first) == pytest.approx(40, abs=8)


def test_earlier_releases_read_the_wait_of_all_and_ignore_those_of_workspaces():
    cell = Cell("drafts", "north")
    told = expected_waits(
        cell, (1, 2), TierWaits(0.1, {"": 0.2, "a": 0.9, "b": 0.5}), {"", "a"}
    )
    encoded = encode(Grants("e1", (), tuple(told)))
    assert decode(encoded).waits == tuple(told)
    wait_by_tier = {tuple(tier): wait for *_, tier, wait in msgpack.unpackb(encoded)[4]}
    assert wait_by_tier == {(1, 2): 200, (1, 2, "a"): 900}
    pools = make_fleet(("e1", "e2"), SLOTS, terms(NAMES))["e1"]
    for wait in told:
        pools.cell_reports.record_wait(
            cell, wait.tier, wait.seconds, 1.0, wait.workspace
        )
    waits = pools.cell_reports.expected_waits(cell, (1, 2), 1.1)
    assert (waits.of("a"), waits.of("c")) == (0.9, 0.2)


def test_a_workspace_over_its_share_is_reported_once_while_others_wait():
    pools = make_fleet(("e1",), SLOTS, terms(NAMES[:2]))["e1"]
    shares, cell = pools.shares, Cell("drafts", "")
    lacking = [ticket(workspace=NAMES[0])]
    for now in (0.0, 1.0, 2.0):
        shares.review(cell, lacking, now)
        for _ in range(4):
            shares.record_grant(cell, ticket(workspace=NAMES[1], tokens=500))
    (change,) = shares.take_changes()
    assert change.is_over
    assert change.workspace == NAMES[1]
    assert change.held > OVER_SHARE_RATIO * change.share
    assert shares.count_over_share("drafts", 2.5) == 1
    shares.review(cell, (), 3.0)
    assert [change.is_over for change in shares.take_changes()] == [False]


def test_a_flooder_is_told_to_wait_for_its_own_requests_and_others_are_not():
    pools = make_fleet(("e1",), SLOTS, terms(NAMES[:2]))["e1"]
    shares, cell = pools.shares, Cell("drafts", "")
    flood = [ticket(workspace=NAMES[1], tokens=500, number=n) for n in range(10)]
    for now in (0.0, 1.0):
        shares.review(cell, flood, now)
        for name in (NAMES[0], *[NAMES[1]] * 4):
            shares.record_grant(cell, ticket(workspace=name, tokens=500))
    shares.review(cell, flood, 2.0)
    other = ticket(workspace=NAMES[0], tokens=500)
    waits = shares.own_waits(cell, (0, 0), [*flood, other], 2.1)
    # Granted 2000 tokens per second, and 500; the share of each is 1250.
    assert waits == {NAMES[1]: 10 * 500 / 2000, NAMES[0]: 500 / 1250}
    assert shares.own_waits(cell, (0, 0), flood, 9.0) == {}


@pytest.mark.parametrize("is_full_mesh", [True, False])
def test_a_coordinator_tells_a_peer_the_waits_of_its_workspaces(is_full_mesh):
    info_by_instance = {"e1": InstanceInfo("north", 2.0), "e2": InstanceInfo("north")}
    exchange, _ = make_exchange("e1", "north", info_by_instance)
    exchange.set_instances(info_by_instance, is_full_mesh)
    sent, pools = [], exchange.pools
    pools.set_targets([record("t1", slots=1)])
    pools.shares.configure(terms(NAMES[:2]))
    exchange.gossip = SimpleNamespace(
        call_later=lambda seconds, callback: callback(),
        send_to_all_soon=lambda message: None,
        send_soon=lambda names, message: sent.append(message),
    )
    exchange.match = lambda: pools.match(exchange.clock()) and set()
    flood, other = (
        [
            WaitingRequest(
                10 * index + number,
                "drafts",
                (0, 0),
                0.0,
                coordinator="e1",
                time_left=3.0,
                workspace=name,
                tokens=500,
            )
            for number in range(count)
        ]
        for index, (name, count) in enumerate([(NAMES[1], 9), (NAMES[0], 1)], 1)
    )
    cell = pools.targets.cells.for_service("drafts")[0]
    now = exchange.clock()
    pools.shares.review(cell, (), now - 1.5)
    pools.shares.record_grant(cell, ticket(workspace=NAMES[1], tokens=500))
    exchange.handle_report(Report("e2", "north", 1, 1, waiting=(*flood, *other)))
    wait_by_workspace = {wait.workspace: wait.seconds for wait in sent[-1].waits}
    assert wait_by_workspace[NAMES[1]] > max(
        wait_by_workspace[None], wait_by_workspace.get(NAMES[0], 0.0)
    )
