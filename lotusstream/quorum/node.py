"""One keeper of the replicated log: Raft as its dissertation has it (Ongaro 2014), with pre-vote, a leader
that steps down without a majority, reads by a round of heartbeats, members changed one at a time.

`handle` takes what happened and gives back what is to be done. No clock, socket, file or chance of its own.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lotusstream.quorum import events as ev
from lotusstream.quorum import messages as ms
from lotusstream.quorum.bootstrap import ClusterBootstrap, find_member, is_older_copy
from lotusstream.quorum.replicated_log import PersistedState, ReplicatedLog, encode_members

EMPTY, FOLLOWER, ASKING, CANDIDATE, LEADER = "empty", "follower", "asking", "candidate", "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Times in microseconds. An election begins after `election` to twice that without a leader. `batch`:
    most bytes of entries or snapshot in one message; `kept`: entries before the log is compacted."""

    heartbeat: int
    election: int
    batch: int = 64 << 10
    kept: int = 1000
    open: int = 1000  # proposals at once that wait for their commit


@dataclass(slots=True)
class Follower:
    """What the leader knows of one member. One message with entries is out at a time."""

    next: int
    heard: int
    match: int = 0
    round: int = 0
    sent: int = 0
    out: bool = False
    upto: int = 0  # the last index of what is out
    have: int = 0  # bytes of the snapshot that it has
    installing: int = -1  # the snapshot's index


@dataclass(slots=True)
class ReadIndexRequest:
    ticket: int
    round: int
    index: int


@dataclass(slots=True)
class PendingWrite:
    number: int
    last: int
    rests: list[ms.RaftEnvelope] = field(default_factory=list)  # may leave once it is on the disk


class RaftNode:
    """`on_disk`: what the disk holds; `fresh`: a disk's name that was never used, taken where this disk turns
    out to be an older copy; `named`: the keepers of the operator file, for a founding."""

    def __init__(
        self,
        name: str,
        on_disk: PersistedState,
        fresh: str,
        named: Sequence[str],
        pace: RaftTiming,
        seed: int,
        now: int,
    ) -> None:
        self.name, self.pace, self._fresh, self._named = name, pace, fresh, tuple(named)
        self.disk, self.term, self.vote = on_disk.disk, on_disk.term, on_disk.vote
        self._empty = ReplicatedLog(ms.Snapshot(0, 0, "", ()))
        self.journal = on_disk.journal or self._empty
        self.role = FOLLOWER if on_disk.journal else EMPTY
        self.leader, self.commit, self.applied = "", self.journal.snapshot.index, self.journal.snapshot.index
        self._founding = ClusterBootstrap(name, self.disk, named)
        self._seed, self._draws = seed, 0
        self._now, self._out = now, list[ev.RaftAction]()
        self._heard_leader: int | None = None
        self._proven = False  # that this disk is no older copy
        self._answered: dict[str, bool] = {}
        self._began = now
        self._hello_at = now
        self._told: dict[str, tuple[int, int, bool]] = {}  # by disk: term, index, voted for this one
        self._election_at = now + self._draw()
        self._votes: set[str] = set()
        self._followers: dict[str, Follower] = {}
        self._round, self._beat_at = 0, now
        self._tickets: dict[int, int] = {}
        self._readings: list[ReadIndexRequest] = []
        self._wish: tuple[int, str, str, bool] | None = None  # ticket, name, disk, add
        self._newcomers: dict[str, tuple[str, int]] = {}  # by name: disk, when it last said hello
        self._handing: tuple[str, int] | None = None  # to whom, until when
        self._saves: deque[PendingWrite] = deque()
        self._pending: list[ms.RaftRecord] = []
        self._rewrite = False
        self._number = 0
        self._durable = self.journal.last
        self._installing: tuple[ms.Snapshot, bytearray] | None = None
        self._leaving = False
        self._first = True

    # The one entry

    def handle(self, now: int, event: ev.RaftEvent) -> list[ev.RaftAction]:
        self._now, self._out = max(now, self._now), []
        if self._first:
            self._first = False
            self._out.append(ev.RestoreSnapshot(self.journal.snapshot.index, self.journal.snapshot.state))
            if not self.disk:
                self._renew_disk()
        match event:
            case ev.MessageReceived(envelope):
                self._receive(envelope)
            case ev.RecordsPersisted(number):
                self._persisted(number)
            case ev.ProposalSubmitted(ticket, data):
                self._propose(ticket, data)
            case ev.ReadSubmitted(ticket):
                self._read(ticket)
            case ev.MembershipChangeSubmitted(ticket, name, add, disk):
                self._change(ticket, name, add, disk)
            case ev.SnapshotTaken(index, state):
                self._compact(index, state)
            case ev.ShutdownRequested():
                self._leave()
        self._pass_time()
        if self.role == LEADER:
            self._drive()
        self._apply()
        self._flush()
        return self._out

    @property
    def next_at(self) -> int:
        """When to say Tick next."""
        if self.role == LEADER:
            return min(self._beat_at, self._handing[1] if self._handing else self._beat_at)
        if self.role == EMPTY or not self._proven:
            return self._hello_at
        return min(self._election_at, self._hello_at) if self._newcomer() else self._election_at

    @property
    def members(self) -> ms.Members:
        return self.journal.members

    @property
    def group(self) -> str:
        return self.journal.snapshot.group

    def lag(self) -> dict[str, int]:
        """Of the leader: entries that each member has not yet written down."""
        return {disk: self.journal.last - each.match for disk, each in self._followers.items()}

    # Saying and saving

    def _draw(self) -> int:
        self._draws += 1
        lot = zlib.crc32(f"{self._seed}/{self.name}/{self._draws}".encode())
        lot = zlib.crc32(lot.to_bytes(4, "big") + b"spread")
        return self.pace.election + lot * self.pace.election // 2**32

    def _save(self, *records: ms.RaftRecord) -> None:
        self._pending += records

    def _say(self, to: str, to_disk: str, body: ms.RaftMessage, *, rests: bool) -> None:
        """`rests`: on what is not on the disk yet; it leaves once that is."""
        envelope = ms.RaftEnvelope(self.name, self.disk, to, to_disk, self.group, body)
        if rests and self._pending:
            self._open_save().rests.append(envelope)
        elif rests and self._saves:
            self._saves[-1].rests.append(envelope)
        else:
            self._out.append(ev.SendMessage(envelope))

    def _open_save(self) -> PendingWrite:
        """The save that this turn will ask for."""
        if not self._saves or self._saves[-1].number != self._number + 1:
            self._saves.append(PendingWrite(self._number + 1, 0))
        return self._saves[-1]

    def _flush(self) -> None:
        if not self._pending:
            return
        saving = self._open_save()
        saving.last = self.journal.last
        self._number += 1
        self._out.append(ev.PersistRecords(self._number, tuple(self._pending), self._rewrite))
        self._pending, self._rewrite = [], False

    def _persisted(self, number: int) -> None:
        while self._saves and self._saves[0].number <= number:
            saving = self._saves.popleft()
            self._durable = saving.last
            self._out += map(ev.SendMessage, saving.rests)
        if self.role == LEADER:
            self._advance()
        elif self.role == CANDIDATE:
            self._count()

    def _renew_disk(self) -> None:
        """From now on this is a new member that holds nothing."""
        self.disk, self.term, self.vote = self._fresh, 0, ""
        self.journal, self.role, self.leader = self._empty, EMPTY, ""
        self.commit = self.applied = 0
        self._founding = ClusterBootstrap(self.name, self.disk, self._named)
        self._installing, self._answered, self._proven = None, {}, False
        self._saves.clear()
        self._pending, self._rewrite = [ms.IncarnationRecord(self.disk), ms.VoteRecord(0, "")], True
        self._out.append(ev.RestoreSnapshot(0, b""))

    def _became(self, why: str) -> None:
        self._out.append(ev.ReportRoleChange(self.role, self.term, self.leader, why))

    # Time

    def _pass_time(self) -> None:
        now = self._now
        if (self.role == EMPTY or not self._proven or self._newcomer()) and now >= self._hello_at:
            self._hello_at = now + self.pace.heartbeat
            self._hello()
        if self.role == LEADER:
            self._check_majority()
            if self._handing is not None and now >= self._handing[1]:
                self._handing = None
                self._end_wish("leadership could not be handed over")
            if self.role == LEADER and now >= self._beat_at:
                self._beat()
        elif self.role != EMPTY and now >= self._election_at:
            self._election_at = now + self._draw()
            if self._proven and self._votes_here() and not self._leaving:
                self._ask_before("no leader was heard")

    def _newcomer(self) -> bool:
        return self.role not in (EMPTY, LEADER) and find_member(self.members, self.disk) is None

    def _votes_here(self) -> bool:
        mine = find_member(self.members, self.disk)
        return mine is not None and mine.voter

    def _voters(self) -> list[ms.Member]:
        return [member for member in self.members if member.voter]

    def _majority(self, disks: set[str]) -> bool:
        voters = [member.disk for member in self._voters()]
        return 2 * sum(disk in disks for disk in voters) > len(voters)

    def _check_majority(self) -> None:
        """Without a majority in the longest election time this leader may have been replaced."""
        since = self._now - 2 * self.pace.election
        near = {disk for disk, each in self._followers.items() if each.heard > since} | {self.disk}
        if not self._majority(near):
            self._follow(self.term, "", "no majority has answered this leader")

    # Starting: hello

    def _hello(self) -> None:
        body = ms.JoinRequest(self.term, self.journal.last, self.vote)
        others = {member.name: member.disk for member in self.members if member.name != self.name}
        others |= {name: others.get(name, "") for name in self._named if name != self.name}
        for name in sorted(others):
            self._say(name, "", body, rests=True)
        if self.role != EMPTY:
            self._prove()

    def _said_hello(self, envelope: ms.RaftEnvelope, hello: ms.JoinRequest) -> None:
        body = self._heard_of(envelope.disk, hello.term)
        self._say(envelope.sender, envelope.disk, body, rests=self.role == EMPTY)
        if envelope.sender in self._named and find_member(self.members, envelope.disk) is None:
            self._newcomers[envelope.sender] = (envelope.disk, self._now)

    def _heard_of(self, disk: str, term: int) -> ms.JoinReply:
        heard, index, voted = self._told.get(disk, (0, 0, False))
        first = self.journal.snapshot
        founders = first.members if not first.index else ()
        return ms.JoinReply(self.group, founders, self.members, heard, index, voted and heard == term)

    def _heard(self, envelope: ms.RaftEnvelope, heard: ms.JoinReply) -> None:
        if self.role == EMPTY:
            found = self._founding.heard(envelope.sender, envelope.disk, heard)
            if found is not None:
                self._begin(found)
                for member in found.members if not heard.members else ():
                    if member.disk != self.disk:
                        self._say(member.name, member.disk, ms.BootstrapCluster(found), rests=True)
            return
        if is_older_copy(ms.JoinRequest(self.term, self.journal.last, self.vote), heard):
            self._renew_disk()
            self._became(f"{envelope.sender} has heard more from this disk than it holds: an older copy")
            return
        self._answered[envelope.disk] = True
        self._prove()

    def _prove(self) -> None:
        """All have answered, or a majority after the time of an election."""
        if self._proven or self.role == EMPTY:
            return
        answered = {*self._answered, self.disk}
        voters = {member.disk for member in self._voters()}
        late = self._now - self._began >= self.pace.election
        if voters <= answered or (late and self._majority(answered)):
            self._proven = True
            self._election_at = self._now + self._draw()

    def _begin(self, found: ms.Snapshot) -> None:
        self.journal, self.role, self._proven = ReplicatedLog(found), FOLLOWER, True
        self._save(ms.SnapshotRecord(found))
        self._election_at = self._now + self._draw()
        self._became("the group is founded")

    # Receiving

    def _receive(self, envelope: ms.RaftEnvelope) -> None:
        if envelope.to != self.name or (envelope.to_disk and envelope.to_disk != self.disk):
            return  # meant for the disk that was here before
        body = envelope.body
        match body:
            case ms.JoinRequest():
                return self._said_hello(envelope, body)
            case ms.JoinReply():
                return self._heard(envelope, body)
            case ms.BootstrapCluster(snapshot):
                if self.role == EMPTY and self._founding.accepts(snapshot):
                    self._begin(snapshot)
                return None
        if self.group and envelope.group and envelope.group != self.group:  # newcomers have none yet
            return None
        match body:
            case ms.RequestVote():
                self._asked(envelope, body)
            case ms.VoteReply():
                self._voted(envelope, body)
            case ms.AppendEntries():
                self._append(envelope, body)
            case ms.AppendReply():
                self._appended(envelope, body)
            case ms.InstallSnapshot():
                self._install(envelope, body)
            case ms.InstallSnapshotReply():
                self._installed(envelope, body)
            case ms.TimeoutNow(term):
                if term == self.term and self._proven and self._votes_here() and self.role != LEADER:
                    self._stand("the leader hands over", forced=True)

    def _new_term(self, term: int) -> None:
        self.term, self.vote = term, ""
        self._save(ms.VoteRecord(term, ""))

    def _follow(self, term: int, leader: str, why: str) -> None:
        was = (self.role, self.leader)
        if term > self.term:
            self._new_term(term)
        if self.role == LEADER:
            self._give_up(why)
        if self.role != FOLLOWER:
            self._election_at = self._now + self._draw()
        self.role, self.leader = FOLLOWER, leader
        if (self.role, leader) != was and (leader or was[0] == LEADER):
            self._became(why)

    def _give_up(self, why: str) -> None:
        for index in sorted(self._tickets):
            self._out.append(ev.FailRequest(self._tickets[index], why, "", True))
        for reading in self._readings:
            self._out.append(ev.FailRequest(reading.ticket, why, "", False))
        if self._wish is not None and self._wish[0] >= 0:
            self._out.append(ev.FailRequest(self._wish[0], why, "", True))
        self._tickets, self._readings, self._wish, self._handing = {}, [], None, None
        self._followers = {}

    # Elections

    def _ask_before(self, why: str) -> None:
        self.role, self.leader = ASKING, ""
        self._votes = {self.disk}
        self._ask(self.term + 1, pre=True, forced=False)
        self._hello()  # whoever was replaced unheard hears of it, and is heard of
        self._count()

    def _stand(self, why: str, forced: bool = False) -> None:
        self.role, self.leader = CANDIDATE, ""
        self.term, self.vote = self.term + 1, self.disk
        self._save(ms.VoteRecord(self.term, self.vote))
        self._votes = {self.disk}
        self._election_at = self._now + self._draw()
        self._became(why)
        self._ask(self.term, pre=False, forced=forced)

    def _ask(self, term: int, *, pre: bool, forced: bool) -> None:
        body = ms.RequestVote(term, self.journal.last, self.journal.last_term, pre, forced)
        for member in self._voters():
            if member.disk != self.disk:
                self._say(member.name, member.disk, body, rests=True)

    def _asked(self, envelope: ms.RaftEnvelope, ask: ms.RequestVote) -> None:
        if self.role == EMPTY or not self._proven:
            return
        near = self._heard_leader is not None and self._now - self._heard_leader < self.pace.election
        if not ask.forced and (self.role == LEADER or near):
            if ask.term < self.term:
                self._say(envelope.sender, envelope.disk, ms.VoteReply(self.term, False, ask.pre), rests=True)
            return  # there is a leader: whoever was cut off may not push it out
        if not ask.pre and ask.term > self.term:
            self._follow(ask.term, "", f"{envelope.sender} stands for election")
        good = (ask.last_term, ask.last_index) >= (self.journal.last_term, self.journal.last)
        if ask.pre:
            granted = good and ask.term > self.term
            self._say(
                envelope.sender,
                envelope.disk,
                ms.VoteReply(ask.term if granted else self.term, granted, True),
                rests=True,
            )
            return
        granted = good and ask.term == self.term and self.vote in ("", envelope.disk)
        if granted and not self.vote:
            self.vote = envelope.disk
            self._save(ms.VoteRecord(self.term, self.vote))
            self._election_at = self._now + self._draw()
        self._say(envelope.sender, envelope.disk, ms.VoteReply(self.term, granted, False), rests=True)

    def _voted(self, envelope: ms.RaftEnvelope, vote: ms.VoteReply) -> None:
        if not vote.granted:
            if vote.term > self.term:
                self._follow(vote.term, "", f"{envelope.sender} is in a later term")
            return
        if not vote.pre:
            self._remember(envelope.disk, vote.term, 0, voted=True)
        wanted = self.term + 1 if self.role == ASKING else self.term
        if self.role == (ASKING if vote.pre else CANDIDATE) and vote.term == wanted:
            self._votes.add(envelope.disk)
            self._count()

    def _count(self) -> None:
        if not self._majority(self._votes):
            return
        if self.role == ASKING:
            self._stand("a majority would give its vote")
        elif self.role == CANDIDATE and not self._saves and not self._pending:  # its own vote is on the disk
            self._lead()

    def _remember(self, disk: str, term: int, index: int, voted: bool = False) -> None:
        """What this disk has told, should an older copy of it come back."""
        old = self._told.get(disk, (0, 0, False))
        if term > old[0]:
            self._told[disk] = (term, index, voted)
        elif term == old[0]:
            self._told[disk] = (term, max(index, old[1]), voted or old[2])

    # Leading

    def _lead(self) -> None:
        self.role, self.leader = LEADER, self.name
        self._followers = {}
        self._durable = self.journal.last
        self._tickets, self._readings = {}, []
        self._became("elected")
        self._add(ms.LogEntry(self.term, ms.EntryKind.NOTHING))
        self._beat()

    def _add(self, entry: ms.LogEntry) -> int:
        self.journal.extend((entry,))
        self._save(ms.EntriesRecord(self.journal.last, (entry,)))
        return self.journal.last

    def _propose(self, ticket: int, data: bytes) -> None:
        if self.role != LEADER or self._handing is not None:
            self._out.append(ev.FailRequest(ticket, "not the leader", self.leader, False))
        elif len(self._tickets) >= self.pace.open:
            self._out.append(ev.FailRequest(ticket, "too much is open", self.name, False))
        else:
            self._tickets[self._add(ms.LogEntry(self.term, ms.EntryKind.COMMAND, data))] = ticket

    def _read(self, ticket: int) -> None:
        if self.role != LEADER:
            self._out.append(ev.FailRequest(ticket, "not the leader", self.leader, False))
            return
        self._readings.append(ReadIndexRequest(ticket, self._round + 1, 0))
        self._beat_at = self._now

    def _beat(self) -> None:
        self._round += 1
        self._beat_at = self._now + self.pace.heartbeat
        for member in self.members:
            if member.disk != self.disk:
                self._send(member, beat=True)

    def _drive(self) -> None:
        """Whoever lacks entries gets them; what the members wish is taken on."""
        if self._handing is not None:
            self._hand_over()
        for member in self.members:
            if member.disk == self.disk:
                continue
            follower = self._followers.get(member.disk)
            if follower is None or (not follower.out and follower.next <= self.journal.last):
                self._send(member, beat=False)
        self._members_on()
        self._advance()

    def _send(self, member: ms.Member, *, beat: bool) -> None:
        follower = self._followers.get(member.disk)
        if follower is None:
            follower = self._followers[member.disk] = Follower(max(1, self.journal.last), self._now)
        if follower.out and self._now - follower.sent >= self.pace.election:
            follower.out = False  # lost on the way: once more
        prev = follower.next - 1
        term = self.journal.term(prev)
        if term is None or follower.next <= self.journal.snapshot.index:
            if not follower.out or beat:
                self._send_snapshot(member, follower)
            return
        entries = () if follower.out else self.journal.after(prev, self.pace.batch)
        if entries:
            follower.out, follower.sent, follower.upto = True, self._now, prev + len(entries)
        body = ms.AppendEntries(self.term, prev, term, entries, self.commit, self._round, self._durable)
        self._say(member.name, member.disk, body, rests=False)

    def _send_snapshot(self, member: ms.Member, follower: Follower) -> None:
        snapshot = self.journal.snapshot
        if follower.installing != snapshot.index:
            follower.installing, follower.have = snapshot.index, 0
        piece = snapshot.state[follower.have : follower.have + self.pace.batch]
        bare = ms.Snapshot(snapshot.index, snapshot.term, snapshot.group, snapshot.members)
        follower.out, follower.sent = True, self._now
        body = ms.InstallSnapshot(self.term, bare, follower.have, len(snapshot.state), piece, self._round)
        self._say(member.name, member.disk, body, rests=False)

    def _answer(self, envelope: ms.RaftEnvelope, term: int, round: int) -> Follower | None:
        """The follower that an answer of this term came from."""
        if term > self.term:
            self._follow(term, "", f"{envelope.sender} is in a later term")
            return None
        follower = self._followers.get(envelope.disk) if self.role == LEADER and term == self.term else None
        if follower is not None:
            follower.heard = self._now
            follower.round = max(follower.round, round)
        return follower

    def _appended(self, envelope: ms.RaftEnvelope, told: ms.AppendReply) -> None:
        if told.ok:
            self._remember(envelope.disk, told.term, told.index)
        if (follower := self._answer(envelope, told.term, told.round)) is None:
            return
        if told.ok:
            follower.match = max(follower.match, told.index)
            follower.next = follower.match + 1
            follower.out = follower.out and follower.match < follower.upto
            return
        if told.last < follower.match:  # it told of more than it holds
            body = self._heard_of(envelope.disk, told.term)
            self._say(envelope.sender, envelope.disk, body, rests=False)
        follower.out = False
        follower.next = max(follower.match + 1, min(told.index, follower.next - 1)) if told.index else 0

    def _installed(self, envelope: ms.RaftEnvelope, told: ms.InstallSnapshotReply) -> None:
        if (follower := self._answer(envelope, told.term, told.round)) is None:
            return
        if told.index != self.journal.snapshot.index or told.index != follower.installing:
            follower.out = False
            return
        follower.have, follower.out = told.have, False
        if told.done:
            follower.match = max(follower.match, told.index)
            follower.next, follower.installing = told.index + 1, -1

    def _advance(self) -> None:
        if self.role != LEADER:
            return
        matches = sorted(
            (
                self._durable if member.disk == self.disk else self._match(member.disk)
                for member in self._voters()
            ),
            reverse=True,
        )
        agreed = matches[len(matches) // 2]  # a majority holds this much
        if agreed > self.commit and self.journal.term(agreed) == self.term:
            self.commit = agreed
            self._beat_at = min(self._beat_at, self._now + self.pace.heartbeat // 4)

    def _match(self, disk: str) -> int:
        follower = self._followers.get(disk)
        return follower.match if follower else 0

    def _apply(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            entry = self.journal.entry(self.applied)
            if entry.kind == ms.EntryKind.MEMBERS:
                self._out.append(
                    ev.ReportMembershipChange(self.applied, self.journal.members_at(self.applied))
                )
            ticket = self._tickets.pop(self.applied, None)
            self._out.append(ev.ApplyEntry(self.applied, entry.kind, entry.data, ticket))
        if self.role == LEADER:
            if self._readings and self.journal.term(self.commit) == self.term:
                self._serve_readings()
            if find_member(self.members, self.disk) is None and self.journal.members_index <= self.commit:
                self._follow(self.term, "", "no member any more")
        if self.applied - self.journal.snapshot.index >= self.pace.kept:
            self._out.append(ev.TakeSnapshot(self.applied))

    def _serve_readings(self) -> None:
        left = []
        for reading in self._readings:
            near = {disk for disk, each in self._followers.items() if each.round >= reading.round}
            if self._majority(near | {self.disk}):
                self._out.append(ev.CompleteRequest(reading.ticket))
            else:
                left.append(reading)
        self._readings = left

    def _compact(self, index: int, state: bytes) -> None:
        if not self.journal.snapshot.index < index <= self.applied:
            return
        self.journal.compact(index, state)
        self._pending, self._rewrite = [], True
        self._save(
            ms.IncarnationRecord(self.disk), ms.VoteRecord(self.term, self.vote), *self.journal.records()
        )

    # Following

    def _led(self, envelope: ms.RaftEnvelope, term: int) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role != FOLLOWER or self.leader != envelope.sender:
            self._follow(term, envelope.sender, f"{envelope.sender} leads")
        self._heard_leader = self._now
        self._election_at = self._now + self._draw()
        return True

    def _append(self, envelope: ms.RaftEnvelope, told: ms.AppendEntries) -> None:
        if self.role == EMPTY:  # a newcomer: it has nothing that entries could follow
            self._say(
                envelope.sender, envelope.disk, ms.AppendReply(told.term, False, 0, 0, told.round), rests=True
            )
            return
        if not self._led(envelope, told.term):
            self._say(envelope.sender, envelope.disk, ms.AppendReply(self.term, False, 0, 0, 0), rests=True)
            return
        self._remember(envelope.disk, told.term, told.durable)
        prev, entries = told.prev_index, told.entries
        if prev < self.journal.snapshot.index:  # what the snapshot holds is committed, and agrees
            ahead = self.journal.snapshot.index - prev
            entries, prev = entries[ahead:], min(prev + len(entries), self.journal.snapshot.index)
            agrees = True
        else:
            agrees = self.journal.term(prev) == told.prev_term
        if not agrees:
            back = self.journal.last + 1 if prev > self.journal.last else self.journal.conflict(prev)
            body = ms.AppendReply(self.term, False, back, self.journal.last, told.round)
            self._say(envelope.sender, envelope.disk, body, rests=True)
            return
        at = prev
        for place, entry in enumerate(entries):
            at = prev + 1 + place
            if self.journal.term(at) == entry.term:
                continue
            if at <= self.journal.last:
                self.journal.cut(at)
            self.journal.extend(entries[place:])
            self._save(ms.EntriesRecord(at, tuple(entries[place:])))
            break
        at = prev + len(entries)
        self.commit = max(self.commit, min(told.commit, at))
        body = ms.AppendReply(self.term, True, at, self.journal.last, told.round)
        self._say(envelope.sender, envelope.disk, body, rests=True)

    def _install(self, envelope: ms.RaftEnvelope, told: ms.InstallSnapshot) -> None:
        if self.role == EMPTY:
            if told.term > self.term:
                self._new_term(told.term)
        elif not self._led(envelope, told.term):
            self._say(
                envelope.sender, envelope.disk, ms.InstallSnapshotReply(self.term, 0, 0, False, 0), rests=True
            )
            return
        bare = told.snapshot
        if self.role != EMPTY and bare.index <= self.commit:
            body = ms.InstallSnapshotReply(self.term, bare.index, told.size, True, told.round)
            self._say(envelope.sender, envelope.disk, body, rests=True)
            return
        if self._installing is None or self._installing[0] != bare:
            self._installing = (bare, bytearray())
        have = self._installing[1]
        if told.offset == len(have):
            have += told.piece
        done = len(have) >= told.size
        if done:
            self._take(ms.Snapshot(bare.index, bare.term, bare.group, bare.members, bytes(have)))
        body = ms.InstallSnapshotReply(self.term, bare.index, len(have), done, told.round)
        self._say(envelope.sender, envelope.disk, body, rests=True)

    def _take(self, snapshot: ms.Snapshot) -> None:
        was_empty, self._installing = self.role == EMPTY, None
        if not was_empty and self.journal.term(snapshot.index) == snapshot.term:
            self.journal.compact(snapshot.index, snapshot.state)
        else:
            self.journal = ReplicatedLog(snapshot)
        if was_empty:
            self.role, self._proven = FOLLOWER, True
            self._became("taken into the group")
        self.commit = self.applied = snapshot.index
        self._pending, self._rewrite = [], True
        self._save(
            ms.IncarnationRecord(self.disk), ms.VoteRecord(self.term, self.vote), *self.journal.records()
        )
        self._out.append(ev.RestoreSnapshot(snapshot.index, snapshot.state))
        self._out.append(ev.ReportMembershipChange(snapshot.index, snapshot.members))

    # Members and leaving

    def _change(self, ticket: int, name: str, add: bool, disk: str) -> None:
        if self.role != LEADER:
            self._out.append(ev.FailRequest(ticket, "not the leader", self.leader, False))
        elif self._wish is not None:
            self._out.append(
                ev.FailRequest(ticket, "another change of keepers is under way", self.name, False)
            )
        else:
            disk = disk or self._newcomers.get(name, ("", 0))[0]
            there = next((each for each in self.members if each.name == name), None)
            if add and not disk and there is None:
                why = f"'{name}' has not been heard of: start it first"
                self._out.append(ev.FailRequest(ticket, why, self.name, False))
            elif (there is None) != add and not (add and there and disk and disk != there.disk):
                why = f"'{name}' is {'a' if add else 'no'} keeper already"
                self._out.append(ev.FailRequest(ticket, why, self.name, False))
            elif not add and len(self._voters()) == 1:
                self._out.append(ev.FailRequest(ticket, "the last voter has to stay", self.name, False))
            else:
                self._wish = (ticket, name, disk, add)

    def _members_on(self) -> None:
        """One step of one change at a time, each once the one before is committed."""
        if self.journal.members_index > self.commit or self.journal.term(self.commit) != self.term:
            return
        for member in self.members:  # a learner that has all becomes a voter
            if not member.voter and self._match(member.disk) >= max(1, self.commit):
                self._set(
                    tuple(
                        ms.Member(each.name, each.disk) if each == member else each for each in self.members
                    )
                )
                return
        if self._wish is not None:
            self._grant(self._wish)
            return
        for name in sorted(self._newcomers):
            disk, since = self._newcomers.pop(name)
            if self._now - since > self.pace.election:
                continue
            there = next((each for each in self.members if each.name == name), None)
            if find_member(self.members, disk) is None and there is not None and there.disk != self.disk:
                follower = self._followers.get(there.disk)
                if follower is None or self._now - follower.heard < self.pace.election:
                    continue  # its old disk answers: the hello was late, or two go by one name
                self._wish = (-1, name, disk, True)  # a keeper came back on a new disk
                return

    def _grant(self, wish: tuple[int, str, str, bool]) -> None:
        ticket, name, disk, add = wish
        there = next((each for each in self.members if each.name == name), None)
        rest = tuple(each for each in self.members if each.name != name)
        if there is not None and (not add or there.disk != disk):
            if there.disk == self.disk and self._others():
                self._hand_over()
                return
            if there.voter and not any(each.voter for each in rest):
                self._end_wish("the last voter has to stay")
                return
            # one voter less and one learner more, at once: whoever comes on a new disk is never forgotten
            self._set((*rest, ms.Member(name, disk, False)) if add else rest)
        elif add and there is None:
            self._set((*rest, ms.Member(name, disk, False)))
        else:
            if ticket >= 0:
                self._out.append(ev.CompleteRequest(ticket))
            self._wish = None

    def _end_wish(self, why: str) -> None:
        if self._wish is not None and self._wish[0] >= 0:
            self._out.append(ev.FailRequest(self._wish[0], why, self.name, False))
        self._wish = None

    def _set(self, members: ms.Members) -> None:
        self._add(ms.LogEntry(self.term, ms.EntryKind.MEMBERS, encode_members(members)))
        self._followers = {
            disk: each for disk, each in self._followers.items() if find_member(members, disk) is not None
        }

    def _others(self) -> list[ms.Member]:
        return [member for member in self._voters() if member.disk != self.disk]

    def _leave(self) -> None:
        self._leaving = True
        if self.role == LEADER:
            self._hand_over()

    def _hand_over(self) -> None:
        """To whoever has most; it takes nothing new meanwhile, for the time of an election."""
        if self._handing is None:
            best = max(self._others(), key=lambda each: (self._match(each.disk), each.name), default=None)
            if best is None:
                return
            self._handing = (best.disk, self._now + self.pace.election)
        member = find_member(self.members, self._handing[0])
        if member is not None and self._match(member.disk) == self.journal.last:
            self._say(member.name, member.disk, ms.TimeoutNow(self.term), rests=False)
