"""Gateway processes that are lost with their disks: other replicas hold all committed records."""

import asyncio
import signal

import pytest

from lotusstream.copies.shards import shard_of
from lotusstream.lab.fleet.idempotency_client import IdempotencyRecordClient
from lotusstream.lab.fleet.rig import FleetRig, GatewayLostError
from lotusstream.protocol import control as wire

KEYS = [f"command-{at}" for at in range(6)]
DIRECTIVES = ("heartbeat 60ms", "election 400ms", "lease 2s", "drift 5%", "copies 3 promise 2", "shards 4")


@pytest.fixture
async def fleet():
    """Starts five gateways with replicas. Fails at the end if a gateway has logged a traceback."""
    async with FleetRig(5, 3, seed=77, tasks=("copies",), directives=DIRECTIVES, replicas=True) as rig:
        async with IdempotencyRecordClient(rig) as record_client:
            yield rig, record_client
        broken = [line for each in rig.gateways.values() for line in each.lines if "Traceback" in line]
        assert not broken, broken[0]


@pytest.fixture
async def fleet_of_fifteen():
    """Starts 15 gateways with replicas, three of them quorum members."""
    rig = FleetRig(15, 3, seed=82, tasks=("copies",), directives=DIRECTIVES, replicas=True)
    async with rig, IdempotencyRecordClient(rig) as record_client:
        yield rig, record_client


async def store_answers(record_client, keys=KEYS):
    """Claims each key and stores its answer. Returns the primary of each key."""
    primaries = {}
    for key in keys:
        assert (await record_client.commit(record_client.record(key, "g"))).outcome == "promised"
        assert (
            await record_client.commit(record_client.record(key, "g", f"answer to {key}".encode()))
        ).outcome == "promised"
        primaries[key] = record_client.primary
    return primaries


async def assert_all_answers_known(record_client, keys=KEYS):
    """Checks that a repeat of each request through another gateway gets the stored answer."""
    for key in keys:
        reply = await record_client.commit(record_client.record(key, "another"))
        assert reply.outcome == "known"
        assert reply.record.answer == f"answer to {key}".encode()


async def lose(rig, name):
    """Kills a gateway and deletes its disk."""
    await rig.gateways[name].kill()
    rig.gateways[name].wipe()


async def test_answers_survive_three_primaries_lost_with_their_disks_in_turn(fleet):
    """A new primary must hold every committed record, and a machine that comes back empty must get all of
    them before it counts as a replica: otherwise a later loss would lose answers.
    """
    rig, record_client = fleet
    primaries = await store_answers(record_client)
    for _ in range(3):
        lost = primaries[KEYS[0]]
        await lose(rig, lost)
        await assert_all_answers_known(record_client)
        await rig.gateways[lost].start()  # a new replica, since its disk is empty
        await rig.gateways[lost].ready()
        await rig.wait_until_replicated(4)
        primaries[KEYS[0]] = await primary_of(record_client, KEYS[0])


async def primary_of(record_client, key):
    """Returns the name of the present primary of a key."""
    await record_client.commit(record_client.record(key, "another"))
    return record_client.primary


async def test_claim_without_answer_survives_the_loss_of_its_primary(fleet):
    """The request may have been executed: no other gateway may claim its key as if it were new."""
    rig, record_client = fleet
    assert (await record_client.commit(record_client.record("half", "g"))).outcome == "promised"
    await lose(rig, record_client.primary)
    reply = await record_client.commit(record_client.record("half", "another"))
    assert reply.outcome == "known"
    assert not reply.record.answer


async def test_paused_primary_that_was_replaced_commits_only_shards_assigned_to_it_again(fleet):
    """A record that a replaced primary committed without backups would be lost with its disk."""
    rig, record_client = fleet
    primaries = await store_answers(record_client)
    old = primaries[KEYS[0]]
    rig.gateways[old].signal(signal.SIGSTOP)
    await assert_all_answers_known(record_client)  # other replicas have replaced the primary
    rig.gateways[old].signal(signal.SIGCONT)
    for at in range(20):
        reply = await record_client.request_commitment(old, record_client.record(f"late-{at}", "g"))
        # it may have become primary of the shard again, with new backups
        if reply is not None and reply.outcome == "promised":
            await lose(rig, old)
            assert (
                await record_client.commit(record_client.record(f"late-{at}", "another"))
            ).outcome == "known"
            return


async def test_primary_that_is_cut_off_commits_nothing_while_the_others_continue(fleet):
    """If it committed a key without its backups, the new primary could commit the same key again."""
    rig, record_client = fleet
    primaries = await store_answers(record_client)
    primary = primaries[KEYS[0]]
    rig.cut(primary)
    reply = await record_client.commit(record_client.record(KEYS[0], "another"), excluded_replica=primary)
    assert reply.outcome == "known"
    assert (
        await record_client.commit(record_client.record("new", "g"), excluded_replica=primary)
    ).outcome == "promised"
    late = await record_client.request_commitment(primary, record_client.record("cut", "g"))
    assert late is None or late.outcome in ("unkept", "maybe")


async def test_log_damaged_while_its_gateway_is_down_is_moved_away_and_refilled_by_other_replicas(fleet):
    """Records after a damaged one can't be read. A gateway that started with the rest under its old identity
    would count as a complete replica.
    """
    rig, record_client = fleet
    await store_answers(record_client)
    await rig.wait_until_replicated(4)
    name = record_client.primary
    disk = (await rig.gateways[name].ask(wire.ReplicaStatus()))["disk"]
    await rig.gateways[name].kill()
    log = rig.gateways[name].store / "copies.log"
    data = bytearray(log.read_bytes())
    data[len(data) // 2] ^= 0x40
    log.write_bytes(data)
    await rig.gateways[name].start()
    await rig.gateways[name].ready()
    await assert_all_answers_known(record_client)
    assert (await rig.gateways[name].ask(wire.ReplicaStatus()))["disk"] != disk
    assert list(rig.gateways[name].store.glob("copies.log.damaged-*"))
    await rig.wait_until_replicated(4)


async def test_log_damaged_while_its_gateway_runs_is_rewritten_before_the_next_start():
    """Without the periodic check the next start would find the damage, and the gateway would start without
    records.
    """
    rig = FleetRig(
        5, 3, seed=85, tasks=("copies",), directives=(*DIRECTIVES, "scrub 300ms"), replicas=True
    )  # fmt: skip
    async with rig, IdempotencyRecordClient(rig) as record_client:
        await rig.wait_until_replicated(4)
        await store_answers(record_client)
        name, seen = record_client.primary, len(log_lines(rig))
        log = rig.gateways[name].store / "copies.log"
        with log.open("r+b") as file:
            data = file.read()
            file.seek(len(data) // 2)
            file.write(bytes([data[len(data) // 2] ^ 0x40]))
        async with asyncio.timeout(20):
            while not any("rewriting it from memory" in line for line in log_lines(rig)[seen:]):
                await asyncio.sleep(0.05)
        disk = (await rig.gateways[name].ask(wire.ReplicaStatus()))["disk"]
        await rig.gateways[name].kill()
        await rig.gateways[name].start()
        await rig.gateways[name].ready()
        # the log was not moved away
        assert (await rig.gateways[name].ask(wire.ReplicaStatus()))["disk"] == disk
        await assert_all_answers_known(record_client)


async def test_answers_survive_when_all_gateways_are_killed_at_once(fleet):
    """Records that were committed before they were synced would be lost when no gateway keeps its memory."""
    rig, record_client = fleet
    await store_answers(record_client)
    await asyncio.gather(*(gateway.kill() for gateway in rig.gateways.values()))
    await asyncio.gather(*(gateway.start() for gateway in rig.gateways.values()))
    await asyncio.gather(*(gateway.ready() for gateway in rig.gateways.values()))
    await assert_all_answers_known(record_client)


async def test_backup_with_a_full_disk_is_removed_and_commits_continue(fleet):
    """A backup that can't write does not acknowledge. If it stayed, its shards could commit nothing."""
    rig, record_client = fleet
    await store_answers(record_client)
    await rig.wait_until_replicated(4)
    backup = next(name for name in rig.names if name != record_client.primary)
    rig.gateways[backup].set_disk("full")
    await store_answers(record_client, [f"more-{at}" for at in range(4)])
    await assert_all_answers_known(record_client)


async def test_snapshot_larger_than_a_frame_is_sent_in_parts(fleet):
    """A snapshot in a single frame would exceed the largest frame, and the replica would never catch up."""
    rig, record_client = fleet
    await rig.wait_until_replicated(4)
    keys = [f"long-{at}" for at in range(240)]  # 240 answers of 48,000 bytes each, in four shards
    for key in keys:
        answer = f"answer to {key}".encode().ljust(48_000)
        assert (await record_client.commit(record_client.record(key, "g", answer))).outcome == "promised"
    lost = record_client.primary
    await lose(rig, lost)
    await rig.gateways[lost].start()
    await rig.gateways[lost].ready()
    await rig.wait_until_replicated(4)
    for key in keys[::12]:
        reply = await record_client.commit(record_client.record(key, "another"))
        assert reply.record.answer.strip() == f"answer to {key}".encode()


async def test_primary_whose_disk_was_rolled_back_is_replaced_by_a_backup_that_has_all_records(fleet):
    """A primary on an older copy of its disk lacks committed records, and would claim their keys a second
    time.
    """
    rig, record_client = fleet
    await store_answers(record_client, ["first"])
    primary = record_client.primary
    older = rig.gateways[primary].copy_disk()
    await store_answers(record_client)
    await rig.gateways[primary].kill()
    rig.gateways[primary].roll_back(older)
    await rig.gateways[primary].start()
    await rig.gateways[primary].ready()
    await assert_all_answers_known(record_client)
    await rig.wait_until_replicated(4)
    await assert_all_answers_known(record_client)


def log_lines(rig):
    """Returns the newest log lines of all gateways."""
    return [line for gateway in rig.gateways.values() for line in gateway.lines]


async def start_again(rig, *names):
    """Starts gateways and waits until they listen."""
    await asyncio.gather(*(rig.gateways[name].start() for name in names))
    await asyncio.gather(*(rig.gateways[name].ready() for name in names))


async def has_vote(rig, name):
    """Whether the disk of a gateway has a vote in the quorum."""
    members = [(await rig.gateways[each].ask(wire.Quorum()))["here"] for each in rig.quorum_members]
    disk = next(each["disk"] for each in members if each["name"] == name)
    leaders = [each for each in members if each["role"] == "leader"]
    return any(each["voter"] and each["disk"] == disk for leader in leaders for each in leader["members"])


async def may_be_lost(rig, name, lost):
    """Whether a gateway can be lost without losing two of the quorum's three votes at once: the quorum could
    then choose no new primary until it is back. `lost`: the gateway that has come back with an empty disk."""
    return not {name, lost} <= set(rig.quorum_members) or await has_vote(rig, lost)


async def test_answers_survive_the_loss_of_a_primary_that_is_sending_a_snapshot(fleet):
    """A machine has come back with an empty disk and receives snapshots of several frames. Their sender is
    lost too, while clients continue to store answers. The records must then come from the remaining replicas.
    """
    rig, record_client = fleet
    await rig.wait_until_replicated(4)
    keys = [f"long-{at}" for at in range(160)]

    async def store_long_answers(some):
        for key in some:
            answer = f"answer to {key}".encode().ljust(48_000)
            reply = await record_client.commit(record_client.record(key, "g", answer), timeout_s=60)
            assert reply.outcome in ("promised", "known")

    await asyncio.gather(*(store_long_answers(keys[at::8]) for at in range(8)))
    first, sender = record_client.primary, ""
    await lose(rig, first)
    more = [f"more-{at}" for at in range(80)]
    storing = [asyncio.create_task(store_long_answers(more[at::4])) for at in range(4)]
    await start_again(rig, first)
    async with asyncio.timeout(20):
        while not sender:  # the primary of a shard with a joining replica
            for name in rig.names:
                if name != first and await may_be_lost(rig, name, first):
                    for row in (await rig.gateways[name].ask(wire.ReplicaStatus()))["shards"]:
                        sender = row["home"] if row["home"] == name and row["joining"] else sender
            await asyncio.sleep(0)
    await lose(rig, sender)
    await asyncio.gather(*storing)
    await start_again(rig, sender)
    await rig.wait_until_replicated(4)
    for key in (*keys[::8], *more[::8]):
        reply = await record_client.commit(record_client.record(key, "another"))
        assert reply.record.answer.strip() == f"answer to {key}".encode()


async def test_shard_that_loses_all_replicas_is_reported_and_refused_while_others_continue():
    """A shard with two replicas loses both disks at once. Empty replicas must not commit its keys anew: its
    requests may have been executed.
    """
    directives = (*DIRECTIVES[:4], "copies 2 promise 2", "shards 4")
    rig = FleetRig(7, 3, seed=81, tasks=("copies",), directives=directives, replicas=True)
    async with rig, IdempotencyRecordClient(rig) as record_client:
        rows = await rig.wait_until_replicated(4, copies=2)
        pairs = {shard: [row["home"], *row["copies"]] for shard, row in rows.items()}
        # at most one of the lost gateways is a quorum member, so that the quorum keeps its majority
        shard, gone = next(each for each in pairs.items() if len({*each[1]} & {*rig.quorum_members}) < 2)
        lost = {at for at, each in rows.items() if {each["home"], *each["copies"]} == set(gone)}
        kept = [f"key-{at}" for at in range(40) if shard_of(f"key-{at}", 4) not in lost]
        doomed = next(f"key-{at}" for at in range(40) if shard_of(f"key-{at}", 4) == shard)
        await store_answers(record_client, [doomed, *kept[:6]])
        for name in gone:
            await lose(rig, name)
        others = [name for name in rig.names if name not in gone]
        async with asyncio.timeout(30):
            while not any(f"{len(lost)} have none" in line for line in log_lines(rig)):
                await asyncio.sleep(0.05)
        if kept:
            await assert_all_answers_known(record_client, kept[:6])
        await start_again(rig, *gone)  # with empty disks they must not commit
        for name in (*others, *gone):
            reply = await record_client.request_commitment(name, record_client.record(doomed, "another"))
            assert reply is None or reply.outcome in ("unkept", "maybe")


async def test_answers_survive_while_ten_gateways_join_at_once(fleet_of_fifteen):
    """Ten gateways with empty disks catch up at once. If one of them counted as a replica before it had all
    records, the loss of two other gateways afterwards would lose records.
    """
    rig, record_client = fleet_of_fifteen
    late = rig.names[5:]
    await asyncio.gather(*(lose(rig, name) for name in late))
    keys = [f"key-{at}" for at in range(60)]
    await store_answers(record_client, keys)
    storing = asyncio.create_task(store_answers(record_client, [f"more-{at}" for at in range(60)]))
    await start_again(rig, *late)
    await storing
    await assert_all_answers_known(record_client, keys)
    await rig.wait_until_replicated(4, timeout_s=90)
    for name in rig.names[3:5]:  # these are not quorum members
        await lose(rig, name)
    await assert_all_answers_known(record_client, keys[::3])


async def test_answers_survive_the_loss_of_a_whole_zone_with_its_disks(fleet):
    """The replicas of a shard are in different zones, so that each shard loses one replica."""
    rig, record_client = fleet
    await rig.wait_until_replicated(4)
    await store_answers(record_client)
    zone = [name for name in rig.names if int(name[1:]) % 3 == 1]
    assert len(zone) == 2
    for name in zone:
        await lose(rig, name)
    await assert_all_answers_known(record_client)
    for name in zone:
        await rig.gateways[name].start()
        await rig.gateways[name].ready()
    await rig.wait_until_replicated(4)
    await assert_all_answers_known(record_client)


async def test_expired_record_does_not_return_with_a_disk_that_comes_back(fleet):
    """A gateway is down while a record expires and another gateway claims its key. The disk of the first
    gateway still holds the old record, which must not replace the new one.
    """
    rig, record_client = fleet
    await rig.wait_until_replicated(4)
    old = record_client.record("short", "g", b"an answer", lifetime_s=1.5)
    assert (await record_client.commit(old)).outcome == "promised"
    gone = record_client.primary
    await rig.gateways[gone].kill()
    async with asyncio.timeout(20):  # the record expires by the Unix clock
        while (reply := await record_client.commit(record_client.record("short", "anew"))).outcome == "known":
            assert reply.record == old
            await asyncio.sleep(0.2)
    await rig.gateways[gone].start()
    await rig.gateways[gone].ready()
    await rig.wait_until_replicated(4)
    reply = await record_client.commit(record_client.record("short", "third"))
    assert (reply.outcome, reply.record.owner) == ("known", "anew")


async def test_drained_machine_holds_no_replicas_in_the_end_and_can_be_lost(fleet):
    """Records would be lost with a machine that is reported as drained while it still holds replicas."""
    rig, record_client = fleet
    await rig.wait_until_replicated(4)
    primaries = await store_answers(record_client)
    drained = primaries[KEYS[0]]
    machine = f"m{drained[1:]}"
    controller = (await rig.gateways["g1"].ask(wire.ReplicaStatus()))["manager"]
    if drained != controller:
        with pytest.raises(GatewayLostError, match=f"'{controller}' decides on copies: ask there"):
            await rig.gateways[drained].ask(wire.DrainMachine(machine))
    with pytest.raises(
        GatewayLostError, match="no machine 'm9' in the operator file: it has m1, m2, m3, m4, m5"
    ):
        await rig.gateways[controller].ask(wire.DrainMachine("m9"))
    status = await rig.until(lambda reply: not reply["shards_left"], controller, wire.DrainMachine(machine))
    assert status["drained"] == [machine]
    rows = (await rig.wait_until_replicated(4)).values()
    assert not [row for row in rows if drained in (row["home"], *row["copies"])]
    if drained != controller:
        await lose(rig, drained)
    await assert_all_answers_known(record_client)
    reply = await rig.gateways[controller].ask(wire.DrainMachine(machine, undo=True))
    assert reply["drained"] == []
