"""What is promised survives the loss of machines with their disks, on a virtual clock."""

import pytest

from benchmarks.planted_copies import PLANTED, caught
from lotusstream.copies.shards import Holder, Place, placed
from lotusstream.lab.copies import play

SPAN = 20


@pytest.mark.parametrize("first", range(0, 8 * SPAN, SPAN))
def test_no_promise_is_lost_and_nothing_takes_effect_twice(first):
    for seed in range(first, first + SPAN):
        play(seed)


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
