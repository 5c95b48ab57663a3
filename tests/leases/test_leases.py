"""Stories of one task and those who want to act for it."""

import pytest

from lotusstream.leases import holder as hold
from lotusstream.leases.expiry import LeaseExpiryTracker, LeaseTiming
from lotusstream.leases.holder import FencingTokenGuard, LeaseHolder
from lotusstream.leases.table import (
    AcquireLease,
    ExpireLease,
    LeaseTable,
    PutNote,
    ReleaseLease,
    RevokeLease,
    encode_operation,
)

MS, S = 1_000, 1_000_000
TERMS = LeaseTiming(2 * S, 250 * MS, 0.05)


@pytest.fixture
def table():
    return LeaseTable()


@pytest.fixture
def holder():
    return LeaseHolder("g1", "g1-1", ["k1", "k2"], TERMS, 7)


def acquire(table, who, number, session=""):
    return table.apply(encode_operation(AcquireLease("moves", who, session or who, number)))


def granted(table, ask):
    return table.apply(encode_operation(ask.operation))


def asks(actions):
    return [each for each in actions if isinstance(each, hold.SendLeaseOperation)]


def test_a_release_that_comes_twice_takes_nothing_from_the_next_holder(table):
    first = acquire(table, "g1", 1)
    release = encode_operation(ReleaseLease("moves", "g1", "g1", 2, first.token))
    assert table.apply(release).done
    second = acquire(table, "g2", 1)
    assert second.token > first.token
    assert not table.apply(release).done
    assert table.leases["moves"].holder == "g2"


def test_a_late_acquire_does_not_take_a_lease_that_was_released(table):
    late = encode_operation(AcquireLease("moves", "g1", "g1", 1))
    first = table.apply(late)
    table.apply(encode_operation(ReleaseLease("moves", "g1", "g1", 2, first.token)))
    assert not table.apply(late).done
    assert table.leases["moves"].token == 0


def test_the_same_program_started_again_is_another_holder(table):
    first = acquire(table, "g1", 9, "g1-1")
    assert not acquire(table, "g1", 1, "g1-2").done
    assert table.leases["moves"].token == first.token


def test_a_renewal_that_overtakes_the_leaders_word_stands(table):
    token = acquire(table, "g1", 1).token
    acquire(table, "g1", 2)
    assert not table.apply(encode_operation(ExpireLease("moves", token, 0))).done
    assert table.apply(encode_operation(ExpireLease("moves", token, 1))).done


def test_a_lease_handed_on_is_kept_for_its_heir_alone_and_not_for_ever(table):
    token = acquire(table, "g1", 1).token
    table.apply(encode_operation(ReleaseLease("moves", "g1", "g1", 2, token, "g3")))
    assert acquire(table, "g2", 1).reason == "kept for g3"
    granter = LeaseExpiryTracker(TERMS)
    assert granter.expired_leases(0, 1, table) == []
    (word,) = granter.expired_leases(2 * S, 1, table)
    table.apply(encode_operation(word))
    assert acquire(table, "g2", 2).done


def test_taken_back_by_hand_it_ends_at_the_next_renewal_and_not_before(table):
    token = acquire(table, "g1", 1).token
    assert table.apply(encode_operation(RevokeLease("moves", token))).done
    assert acquire(table, "g2", 1).reason == "held"
    assert acquire(table, "g1", 2).reason == "taken back by hand"
    table.apply(encode_operation(ReleaseLease("moves", "g1", "g1", 3, token)))
    assert acquire(table, "g2", 2).done


def test_a_table_read_back_grants_no_token_again(table):
    for number in range(1, 4):
        token = acquire(table, "g1", 2 * number).token
        table.apply(encode_operation(ReleaseLease("moves", "g1", "g1", 2 * number + 1, token)))
    again = LeaseTable.load(table.dump())
    assert acquire(again, "g2", 1).token > token
    assert not acquire(again, "g1", 6).done  # whose numbers are known is known as well


def test_the_holder_counts_from_before_it_asked(holder, table):
    (ask,) = asks(holder.handle(S, hold.LeaseWanted("moves")))
    told = granted(table, ask)
    begun = holder.handle(S + 200 * MS, hold.LeaseReplyReceived(ask.number, told, "k1"))
    assert hold.StartTask("moves", told.token) in begun
    end = S + TERMS.duration_us - TERMS.safety_margin_us
    assert holder.may_act(end - 1, "moves") == told.token
    assert holder.may_act(end, "moves") == 0


def test_an_answer_that_comes_after_its_time_begins_nothing(holder, table):
    (ask,) = asks(holder.handle(S, hold.LeaseWanted("moves")))
    late = holder.handle(
        S + TERMS.duration_us, hold.LeaseReplyReceived(ask.number, granted(table, ask), "k1")
    )
    assert not any(isinstance(each, hold.StartTask) for each in late)


def test_without_a_renewal_it_stops_by_itself_and_says_why(holder, table):
    (ask,) = asks(holder.handle(S, hold.LeaseWanted("moves")))
    holder.handle(S, hold.LeaseReplyReceived(ask.number, granted(table, ask), "k1"))
    stops = []
    now = S
    while not stops:
        now = max(now + 1, holder.next_timer_at)
        stops = [
            each for each in holder.handle(now, hold.LeaseTimeAdvanced()) if isinstance(each, hold.StopTask)
        ]
    assert now <= S + TERMS.duration_us - TERMS.safety_margin_us
    assert "no renewal" in stops[0].reason


def test_a_silent_keeper_is_left_for_the_next(holder):
    (first,) = asks(holder.handle(S, hold.LeaseWanted("moves")))
    (second,) = asks(holder.handle(holder.next_timer_at, hold.LeaseTimeAdvanced()))
    assert first.recipient != second.recipient


def test_the_margin_bears_the_drift_of_both_clocks():
    slow, fast = 1 - TERMS.max_clock_drift_ratio, 1 + TERMS.max_clock_drift_ratio
    assert (TERMS.duration_us - TERMS.min_safety_margin_us()) / slow <= TERMS.duration_us / fast
    assert (TERMS.duration_us - TERMS.min_safety_margin_us() * 0.9) / slow > TERMS.duration_us / fast


def test_a_holder_that_slept_between_its_look_and_its_act_is_turned_away_by_what_it_acts_on():
    gate = FencingTokenGuard()
    assert gate.admits("moves", 4)
    assert gate.admits("moves", 5)  # another has it by now
    assert not gate.admits("moves", 4)


def test_a_note_is_agreed_on_under_the_newest_token_alone_and_never_goes_back(table):
    def put(token, version, value):
        return table.apply(encode_operation(PutNote("moves", token, "plan", version, value)))

    first = acquire(table, "g1", 1).token
    assert put(first, 3, "a").done
    assert put(first, 3, "a").done  # its answer was lost
    assert "version 3" in put(first, 3, "b").reason
    table.apply(encode_operation(ReleaseLease("moves", "g1", "g1", 2, first)))
    second = acquire(table, "g2", 1).token
    assert not put(first, 4, "late").done
    assert put(second, 4, "c").done
    assert not put(second, 3, "a").done
    assert LeaseTable.load(table.dump()).notes["plan"].value == "c"
