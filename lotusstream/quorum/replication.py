"""The leader's side of log replication: sends entries and snapshots, and advances the commit index."""

from __future__ import annotations

from lotusstream.quorum import events, messages
from lotusstream.quorum.join import JoinProtocol
from lotusstream.quorum.state import FollowerProgress, RaftState, Role


class Replication:
    """Sends the log to the other members and tracks how much of it each one holds.

    Invariants: a leader only appends to its own log. An entry of the leader's own term is committed once a
    majority of voters holds it on disk; this also commits all entries before it.
    """

    def __init__(self, state: RaftState, join: JoinProtocol) -> None:
        self._state = state
        self._join = join

    def become_leader(self) -> None:
        """Becomes the leader and appends an empty entry, whose commit also commits those of earlier terms."""
        state = self._state
        state.role = Role.LEADER
        state.leader = state.name
        state.durable_index = state.log.last_index
        state.leading.followers = {}
        state.leading.open_proposals = {}
        state.leading.pending_reads = []
        state.report_role_change("elected")
        self.append_entry(messages.LogEntry(state.term, messages.EntryKind.NOOP))
        self.send_heartbeats()

    def append_entry(self, entry: messages.LogEntry) -> int:
        """Appends an entry to the leader's own log. Returns its index."""
        state = self._state
        state.log.append((entry,))
        state.outbox.persist(messages.EntriesRecord(state.log.last_index, (entry,)))
        return state.log.last_index

    def on_proposal(self, event: events.ProposalSubmitted) -> None:
        """Appends a proposal to the log, or fails it if this node can't accept it."""
        state = self._state
        leading = state.leading
        if state.role != Role.LEADER or leading.transfer is not None:
            state.fail_request(event.ticket, "not the leader", state.leader)
        elif len(leading.open_proposals) >= state.timing.max_open_proposal_count:
            state.fail_request(event.ticket, "too many proposals are in flight", state.name)
        else:
            index = self.append_entry(messages.LogEntry(state.term, messages.EntryKind.OPERATION, event.data))
            leading.open_proposals[index] = event.ticket

    def check_majority(self) -> None:
        """Steps down if no majority has answered within twice the shortest election timeout.

        The other members may have elected another leader by then.
        """
        state = self._state
        since = state.now - 2 * state.timing.election_timeout_us
        followers = state.leading.followers
        reachable = {each for each, progress in followers.items() if progress.heard_at > since}
        if not state.is_majority(reachable | {state.incarnation}):
            state.become_follower(state.term, "", "no majority has answered within two election timeouts")

    def send_heartbeats(self) -> None:
        """Starts a new heartbeat round: sends a message to every other member."""
        state = self._state
        state.leading.heartbeat_round += 1
        state.leading.next_heartbeat_at = state.now + state.timing.heartbeat_us
        for member in state.members:
            if member.incarnation != state.incarnation:
                self._send_to(member, is_heartbeat=True)

    def send_new_entries(self) -> None:
        """Sends entries to each member that lacks some and has no entries in flight."""
        state = self._state
        for member in state.members:
            if member.incarnation == state.incarnation:
                continue
            progress = state.leading.followers.get(member.incarnation)
            is_behind = progress is not None and progress.next_index <= state.log.last_index
            if progress is None or (is_behind and not progress.is_in_flight):
                self._send_to(member, is_heartbeat=False)

    def on_append_reply(self, envelope: messages.RaftEnvelope, reply: messages.AppendReply) -> None:
        """Updates the sender's match index, or after a mismatch, which entry to send to it next."""
        if reply.success:
            self._join.record_report(envelope.sender_incarnation, reply.term, reply.index)
        progress = self._record_reply(envelope, reply.term, reply.round)
        if progress is None:
            return
        if reply.success:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
            is_answered = progress.match_index >= progress.last_in_flight_index
            progress.is_in_flight = progress.is_in_flight and not is_answered
            return
        if reply.last_index < progress.match_index:
            # The member acknowledged more than it holds now, so its disk is an older copy. The JoinReply
            # tells the member what it had acknowledged.
            message = self._join.join_reply_for(envelope.sender_incarnation, reply.term)
            self._state.send(envelope.sender, envelope.sender_incarnation, message, after_persist=False)
        progress.is_in_flight = False
        if reply.index:
            earlier = min(reply.index, progress.next_index - 1)
            progress.next_index = max(progress.match_index + 1, earlier)
        else:
            progress.next_index = 0  # the member needs the snapshot first

    def on_install_snapshot_reply(
        self, envelope: messages.RaftEnvelope, reply: messages.InstallSnapshotReply
    ) -> None:
        """Updates which snapshot chunk to send next, or once the snapshot is installed, which entry."""
        progress = self._record_reply(envelope, reply.term, reply.round)
        if progress is None:
            return
        progress.is_in_flight = False
        if reply.index != self._state.log.snapshot.index or reply.index != progress.snapshot_index:
            return
        progress.snapshot_received_bytes = reply.received_bytes
        if reply.done:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = reply.index + 1
            progress.snapshot_index = -1

    def advance_commit_index(self) -> None:
        """Commits entries that a majority of voters holds on disk. The commit index never decreases."""
        state = self._state
        if state.role != Role.LEADER:
            return
        durable_indexes = sorted((self._durable_index_of(member) for member in state.voters()), reverse=True)
        majority_index = durable_indexes[len(durable_indexes) // 2]
        if majority_index > state.commit_index and state.log.term_at(majority_index) == state.term:
            state.commit_index = majority_index
            latest_heartbeat_at = state.now + state.timing.heartbeat_us // 4
            state.leading.next_heartbeat_at = min(state.leading.next_heartbeat_at, latest_heartbeat_at)

    def _durable_index_of(self, member: messages.Member) -> int:
        state = self._state
        if member.incarnation == state.incarnation:
            return state.durable_index
        return state.leading.match_index(member.incarnation)

    def _send_to(self, member: messages.Member, *, is_heartbeat: bool) -> None:
        state = self._state
        progress = self._get_or_create_progress(member)
        prev_index = progress.next_index - 1
        prev_term = state.log.term_at(prev_index)
        if prev_term is None or progress.next_index <= state.log.snapshot.index:
            if not progress.is_in_flight or is_heartbeat:
                self._send_snapshot(member, progress)
            return
        entries: tuple[messages.LogEntry, ...] = ()
        if not progress.is_in_flight:
            entries = state.log.entries_after(prev_index, state.timing.max_batch_bytes)
        if entries:
            progress.is_in_flight = True
            progress.sent_at = state.now
            progress.last_in_flight_index = prev_index + len(entries)
        message = messages.AppendEntries(
            state.term,
            prev_index,
            prev_term,
            entries,
            state.commit_index,
            state.leading.heartbeat_round,
            state.durable_index,
        )
        state.send(member.name, member.incarnation, message, after_persist=False)

    def _get_or_create_progress(self, member: messages.Member) -> FollowerProgress:
        state = self._state
        progress = state.leading.followers.get(member.incarnation)
        if progress is None:
            progress = FollowerProgress(max(1, state.log.last_index), state.now)
            state.leading.followers[member.incarnation] = progress
        if progress.is_in_flight and state.now - progress.sent_at >= state.timing.election_timeout_us:
            progress.is_in_flight = False  # the message is presumed lost and is sent again
        return progress

    def _send_snapshot(self, member: messages.Member, progress: FollowerProgress) -> None:
        state = self._state
        snapshot = state.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_received_bytes = 0
        offset = progress.snapshot_received_bytes
        chunk = snapshot.state[offset : offset + state.timing.max_batch_bytes]
        header = messages.Snapshot(snapshot.index, snapshot.term, snapshot.cluster_id, snapshot.members)
        progress.is_in_flight = True
        progress.sent_at = state.now
        total_bytes = len(snapshot.state)
        round = state.leading.heartbeat_round
        message = messages.InstallSnapshot(state.term, header, offset, total_bytes, chunk, round)
        state.send(member.name, member.incarnation, message, after_persist=False)

    def _record_reply(
        self, envelope: messages.RaftEnvelope, term: int, round: int
    ) -> FollowerProgress | None:
        """Record that a member answered, and return its progress.

        Returns None if the reply is of another term, this node is not the leader, or the sender is no member.
        A reply of a later term makes this node a follower.
        """
        state = self._state
        if term > state.term:
            state.become_follower(term, "", f"{envelope.sender} is in a later term")
            return None
        if state.role != Role.LEADER or term != state.term:
            return None
        progress = state.leading.followers.get(envelope.sender_incarnation)
        if progress is not None:
            progress.heard_at = state.now
            progress.acked_round = max(progress.acked_round, round)
        return progress
