"""What is promised survives the loss of machines with their disks, on a virtual clock."""

import asyncio
from dataclasses import replace

import pytest

from benchmarks.planted_copies import PLANTED, caught
from lotusstream.copies import messages as ms
from lotusstream.copies import replica as rp
from lotusstream.copies import shard_controller as mg
from lotusstream.copies.anti_entropy import Odd, odd_ones
from lotusstream.copies.shards import Holder, Place, placed, shard_of
from lotusstream.lab.copies import TERMS, CopyScene, CopyWorld, play
from lotusstream.lab.world import S
from lotusstream.net.actor import Supervisor
from lotusstream.net.copies import ManagerTask
from lotusstream.net.tasks import TaskContext

SPAN = 20


@pytest.mark.parametrize("first", range(0, 8 * SPAN, SPAN))
def test_no_promise_is_lost_and_nothing_takes_effect_twice(first):
    for seed in range(first, first + SPAN):
        play(seed)


def test_a_copy_that_holds_something_else_all_of_a_sudden_is_found_and_filled_anew():
    flipped = 0
    for seed in range(16):
        world = CopyWorld(seed, CopyScene(faults=("flip",), loss=0.0, length=18 * S))
        judge = world.run()
        flipped += judge.flipped
        assert judge.differ or not judge.flipped
        assert world.alike()
    assert flipped >= 16


def place(at):
    return Place(f"g{at}", "d")


def test_of_three_the_odd_one_out_is_filled_and_of_two_nobody_can_tell():
    assert odd_ones(b"a", {place(1): b"a", place(2): b"a"}) is None
    assert odd_ones(b"a", {place(1): b"b", place(2): b"a"}) == Odd(fill=(place(1),))
    assert odd_ones(b"a", {place(1): b"b", place(2): b"b"}) == Odd(ahead=place(1))
    assert odd_ones(b"a", {place(1): b"b"}) == Odd()
    assert odd_ones(b"a", {place(1): b"b", place(2): b"c"}) == Odd()


@pytest.mark.parametrize("planted", PLANTED, ids=lambda each: each.name)
def test_a_planted_defect_is_caught(planted):
    assert caught(planted, 150) is not None


def holder(name, machine, zone, disk="d"):
    return Holder(Place(name, disk), machine, zone)


def test_never_two_on_one_machine_and_zones_first():
    fleet = [holder(f"g{at}", f"m{at // 2}", f"z{at % 3}") for at in range(12)]
    for shard in range(64):
        found = placed(shard, fleet, 3)
        assert len({each.machine for each in found}) == 3
        assert len({each.zone for each in found}) == 3


def test_a_lost_holder_moves_its_own_shards_alone():
    fleet = [holder(f"g{at}", f"m{at}", "z") for at in range(10)]
    for shard in range(64):
        before = placed(shard, fleet, 3)
        after = placed(shard, fleet[1:], 3)
        assert [each for each in before if each != fleet[0]] == [each for each in after if each in before]


HOME, COPY, OLD = Place("g1", "d1"), Place("g2", "d2"), Place("g3", "d3")


def test_a_copy_that_began_anew_is_not_filled_by_a_home_of_an_epoch_before_its_newest_change():
    """Seed 243: such a home woke from a stop first, and its fill took a promised answer from the disk."""
    shard = shard_of("key", TERMS.shards)
    answered = ms.Holding("key", "p", ms.Held.ANSWERED, "g", 1 << 60, b"rows")
    kept = rp.read_back([ms.KeptOp(shard, ms.Op(23, 7, answered))])
    copy = rp.ReplicaSet(COPY, "anew", TERMS, kept, 0)
    woken = ms.Assigned(shard, 21, OLD, "old", (COPY,))
    assert copy.handle(1, rp.Heard(OLD, ms.Begin(woken))) == [rp.Say(OLD, ms.Deposed(shard, 23))]
    copy.handle(2, rp.Heard(OLD, ms.Fill(shard, 21, -1, 21, 6)))
    assert copy.shards[shard].holdings["key"] == answered


def test_a_manager_whose_answer_was_lost_hears_what_was_agreed_on_within_a_lease():
    """Seed 275: it took a shard for whole that had been left with one copy, and mended it never."""
    known = ms.Assigned(0, 14, HOME, "s", (COPY, OLD))
    manager = mg.ShardController(TERMS, [known], 0)
    actions = manager.handle(TERMS.leases.duration_us, mg.Tick())
    assert mg.LookUp() in actions
    now = ms.Assigned(0, 15, HOME, "s", (COPY,))
    manager.handle(TERMS.leases.duration_us + 1, mg.Found((now,)))
    assert manager.assigned[0] == now


def test_a_home_that_leaves_as_planned_is_followed_at_once_and_promises_nothing_more():
    holders = [holder(name, name, "z", disk) for name, disk in (("g1", "d1"), ("g2", "d2"), ("g3", "d3"))]
    known = ms.Assigned(0, 4, HOME, "g1", (COPY, OLD))
    manager = mg.ShardController(TERMS, [known], 0)
    for each in holders:
        assert not [a for a in manager.handle(1, mg.Beacon(each, each.machine)) if isinstance(a, mg.Propose)]
    told = manager.handle(2, mg.Beacon(holders[0], "g1", left=True))
    (proposed,) = [action.assigned for action in told if isinstance(action, mg.Propose)]
    assert (proposed.epoch, proposed.home) == (5, COPY)
    leaving = rp.ReplicaSet(HOME, "g1", TERMS, {}, 0)
    leaving.handle(1, rp.LeaseFrom(1))
    assert leaving.leased
    leaving.handle(2, rp.Leave())
    leaving.handle(3, rp.LeaseFrom(3))  # answered to an earlier beacon
    assert not leaving.leased


def test_a_home_that_was_cut_off_says_nothing_of_shards_that_were_given_to_others_meanwhile():
    """Seed 843: its lease was renewed before it heard of the epochs that it had missed."""
    shard = shard_of("key", TERMS.shards)
    sent = ms.Holding("key", "p", ms.Held.SENT, "g", 1 << 60)
    home = rp.ReplicaSet(HOME, "s", TERMS, rp.read_back([ms.KeptOp(shard, ms.Op(4, 1, sent))]), 0)
    home.handle(0, rp.Learnt(ms.Assigned(shard, 4, HOME, "s", (COPY,))))
    home.handle(0, rp.LeaseFrom(0, {shard: 4}))
    home.handle(0, rp.Heard(COPY, ms.Stand(shard, 4, "c", 4, 1)))
    assert rp.Known(1, sent) in home.handle(1, rp.Claim(1, sent_by("another"), 1))
    home.handle(TERMS.leases.duration_us, rp.LeaseFrom(TERMS.leases.duration_us, {shard: 5}))
    assert home.leased
    told = home.handle(TERMS.leases.duration_us, rp.Claim(2, sent_by("another"), 1))
    assert [type(each) for each in told if isinstance(each, rp.Known | rp.Unkept)] == [rp.Unkept]


def sent_by(owner):
    return ms.Holding("key", "p", ms.Held.SENT, owner, 1 << 60)


def test_a_home_gets_no_lease_while_another_in_its_place_may_be_agreed_on():
    names = {"g1": "d1", "g2": "d2", "g3": "d3"}
    holders = {name: holder(name, name, "z", disk) for name, disk in names.items()}
    manager = mg.ShardController(TERMS, [ms.Assigned(0, 4, HOME, "g1", (COPY, OLD))], 0)
    for name, each in holders.items():
        manager.handle(0, mg.Beacon(each, name))
    late = TERMS.leases.duration_us
    manager.handle(late - 1, mg.Beacon(holders["g2"], "g2"))
    told = manager.handle(late, mg.Beacon(holders["g3"], "g3"))
    (asked,) = [a.assigned for a in told if isinstance(a, mg.Propose) and a.assigned.shard == 0]
    assert asked.home == COPY
    told = manager.handle(late + 1, mg.Beacon(holders["g1"], "g1"))
    assert not [each for each in told if isinstance(each, mg.Answer)]
    manager.handle(late + 2, mg.NotAgreed(0, None))  # its answer was lost: asked for again
    told = manager.handle(late + 3, mg.Beacon(holders["g1"], "g1"))
    assert not [each for each in told if isinstance(each, mg.Answer)]
    manager.handle(late + 4, mg.Agreed(asked))
    told = manager.handle(late + 5, mg.Beacon(holders["g1"], "g1"))
    assert [each.epochs for each in told if isinstance(each, mg.Answer)] == [{0: 5}]


def test_a_home_whose_disk_came_back_with_less_makes_room_for_whoever_has_more():
    shard = shard_of("key", TERMS.shards)
    home = rp.ReplicaSet(HOME, "s", TERMS, {}, 0)  # rolled back to nothing
    home.handle(0, rp.Learnt(ms.Assigned(shard, 4, HOME, "s", (COPY,))))
    home.handle(0, rp.LeaseFrom(0, {shard: 4}))
    told = home.handle(1, rp.Heard(COPY, ms.Stand(shard, 4, "c", 3, 9)))
    assert not [each for each in told if isinstance(each, rp.Say) and isinstance(each.word, ms.Fill)]
    assert home.yields() == {shard: (4, COPY)}
    manager = mg.ShardController(TERMS, [ms.Assigned(shard, 4, HOME, "g1", (COPY,))], 0)
    manager.handle(1, mg.Beacon(holder("g2", "g2", "z", "d2"), "g2"))
    told = manager.handle(2, mg.Beacon(holder("g1", "g1", "z", "d1"), "g1", yields=home.yields()))
    (asked,) = [action.assigned for action in told if isinstance(action, mg.Propose)]
    assert (asked.home, asked.backups) == (COPY, (HOME,))


def test_a_holder_without_room_takes_no_new_key_and_finishes_those_that_it_has():
    shard = shard_of("key", TERMS.shards)
    old = ms.Holding("key", "p", ms.Held.SENT, "g", 1 << 60)
    kept = rp.read_back([ms.KeptOp(shard, ms.Op(4, 1, old))])
    terms = replace(TERMS, promise=1, most=1)
    home = rp.ReplicaSet(HOME, "s", terms, kept, 0)
    home.handle(0, rp.Learnt(ms.Assigned(shard, 4, HOME, "s")))
    home.handle(0, rp.LeaseFrom(0, {shard: 4}))
    other = next(f"k{at}" for at in range(99) if shard_of(f"k{at}", TERMS.shards) == shard)
    told = home.handle(1, rp.Claim(1, ms.Holding(other, "p", ms.Held.SENT, "g", 1 << 60), 1))
    assert [each.why for each in told if isinstance(each, rp.Unkept)] == ["this holder has no room for more"]
    answered = ms.Holding("key", "p", ms.Held.ANSWERED, "g", 1 << 60, b"rows")
    assert [each for each in home.handle(1, rp.Finish(2, answered, 1)) if isinstance(each, rp.Save)]
    for _ in range(len(home.shards)):
        home.handle(2, rp.Tick(1 << 61))  # kept no longer
    assert home.size == 0


async def test_a_manager_whose_first_renewal_is_late_decides_once_it_has_come():
    """It had read all, found that it might not act at that moment, and never began."""
    looks = iter([0, 0, 5])

    async def look():
        return {"notes": {}}

    async def put(*_):
        return ""

    supervisor = Supervisor()
    around = TaskContext("g1", lambda: next(looks, 5), lambda _: None, supervisor, put)
    task = ManagerTask(around, TERMS, lambda *_: None, put, look)
    task.activate(5)
    async with asyncio.timeout(10):
        while not task.decides:
            await asyncio.sleep(0.01)
    await supervisor.stop()
