"""The follower's side of log replication: receives entries and snapshots from the leader."""

from __future__ import annotations

from lotusstream.quorum import events, messages
from lotusstream.quorum.join import JoinProtocol
from lotusstream.quorum.replicated_log import ReplicatedLog
from lotusstream.quorum.state import RaftState, Role, SnapshotTransfer


class LogReceiver:
    """Receives entries and snapshots from the leader.

    Invariant (log matching): if two logs have an entry with the same index and term, they are equal up to
    that entry. A follower therefore appends entries only after an entry that matches the leader's log, and
    removes its own entries that conflict. It replies once the new entries are on its disk.
    """

    def __init__(self, state: RaftState, join: JoinProtocol) -> None:
        self._state = state
        self._join = join

    def on_append_entries(self, envelope: messages.RaftEnvelope, message: messages.AppendEntries) -> None:
        """Appends the leader's entries, or replies with an earlier index at which the leader should retry."""
        state = self._state
        if state.role == Role.EMPTY:  # without a log, this node needs a snapshot first
            state.reply(envelope, messages.AppendReply(message.term, False, 0, 0, message.round))
            return
        if not self._accept_leader(envelope, message.term):
            state.reply(envelope, messages.AppendReply(state.term, False, 0, 0, 0))
            return
        self._join.record_report(envelope.sender_incarnation, message.term, message.durable_index)
        prev_index = message.prev_index
        entries = message.entries
        snapshot_index = state.log.snapshot.index
        if prev_index < snapshot_index:
            # Entries inside the snapshot are committed, so the log of every later leader has them too.
            covered_count = snapshot_index - prev_index
            prev_index = min(prev_index + len(entries), snapshot_index)
            entries = entries[covered_count:]
        elif state.log.term_at(prev_index) != message.prev_term:
            retry_index = self._retry_index(prev_index)
            reply = messages.AppendReply(state.term, False, retry_index, state.log.last_index, message.round)
            state.reply(envelope, reply)
            return
        self._append(prev_index, entries)
        agreed_index = prev_index + len(entries)
        state.commit_index = max(state.commit_index, min(message.commit_index, agreed_index))
        reply = messages.AppendReply(state.term, True, agreed_index, state.log.last_index, message.round)
        state.reply(envelope, reply)

    def on_install_snapshot(self, envelope: messages.RaftEnvelope, message: messages.InstallSnapshot) -> None:
        """Stores a chunk of a snapshot, and installs the snapshot once all chunks have arrived."""
        state = self._state
        if state.role == Role.EMPTY:
            if message.term > state.term:
                state.enter_term(message.term)
        elif not self._accept_leader(envelope, message.term):
            state.reply(envelope, messages.InstallSnapshotReply(state.term, 0, 0, False, 0))
            return
        header = message.snapshot
        if state.role != Role.EMPTY and header.index <= state.commit_index:
            reply = messages.InstallSnapshotReply(
                state.term, header.index, message.total_bytes, True, message.round
            )
            state.reply(envelope, reply)
            return
        received = self._receive_chunk(message)
        is_complete = len(received) >= message.total_bytes
        if is_complete:
            self._install(
                messages.Snapshot(
                    header.index, header.term, header.cluster_id, header.members, bytes(received)
                )
            )
        reply = messages.InstallSnapshotReply(
            state.term, header.index, len(received), is_complete, message.round
        )
        state.reply(envelope, reply)

    def _accept_leader(self, envelope: messages.RaftEnvelope, term: int) -> bool:
        """Follows the sender unless the sender's term is older. Returns whether this node follows it."""
        state = self._state
        if term < state.term:
            return False
        if term > state.term or state.role != Role.FOLLOWER or state.leader != envelope.sender:
            state.become_follower(term, envelope.sender, f"{envelope.sender} is the leader")
        state.follower.heard_leader_at = state.now
        state.restart_election_timer()
        return True

    def _retry_index(self, prev_index: int) -> int:
        """Return the index of the entry that the leader should send next after a mismatch at `prev_index`.

        That is the index after the end of a log that is too short, or else the first index of the
        conflicting entry's term, so that all entries of that term are skipped at once.
        """
        log = self._state.log
        if prev_index > log.last_index:
            return log.last_index + 1
        return log.first_index_of_term(prev_index)

    def _append(self, prev_index: int, entries: tuple[messages.LogEntry, ...]) -> None:
        """Removes this log's conflicting entries after `prev_index`, then appends those that it lacks."""
        state = self._state
        for position, entry in enumerate(entries):
            index = prev_index + 1 + position
            if state.log.term_at(index) == entry.term:
                continue
            if index <= state.log.last_index:
                state.log.truncate_from(index)
            new_entries = entries[position:]
            state.log.append(new_entries)
            state.outbox.persist(messages.EntriesRecord(index, tuple(new_entries)))
            return

    def _receive_chunk(self, message: messages.InstallSnapshot) -> bytearray:
        """Append the chunk if it is the next one, and return all bytes of the snapshot received so far."""
        follower = self._state.follower
        transfer = follower.snapshot_transfer
        if transfer is None or transfer.snapshot != message.snapshot:
            transfer = follower.snapshot_transfer = SnapshotTransfer(message.snapshot)
        if message.offset_bytes == len(transfer.state):
            transfer.state += message.chunk
        return transfer.state

    def _install(self, snapshot: messages.Snapshot) -> None:
        state = self._state
        was_empty = state.role == Role.EMPTY
        state.follower.snapshot_transfer = None
        if not was_empty and state.log.term_at(snapshot.index) == snapshot.term:
            state.log.compact(snapshot.index, snapshot.state)
        else:
            state.log = ReplicatedLog(snapshot)
        if was_empty:
            state.role = Role.FOLLOWER
            state.is_verified = True
            state.report_role_change("joined the cluster")
        state.commit_index = snapshot.index
        state.applied_index = snapshot.index
        state.replace_stored_log()
        state.emit(events.RestoreSnapshot(snapshot.index, snapshot.state))
        state.emit(events.ReportMembershipChange(snapshot.index, snapshot.members))
