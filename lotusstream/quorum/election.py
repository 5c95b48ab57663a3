"""Elections: pre-votes, votes, and the election timeout that starts them."""

from __future__ import annotations

from lotusstream.quorum import messages
from lotusstream.quorum.join import JoinProtocol
from lotusstream.quorum.replication import Replication
from lotusstream.quorum.state import RaftState, Role


class Election:
    """Requests votes from other nodes and answers their vote requests.

    Invariant: a term has at most one leader, since each voter grants one vote per term and persists it
    before sending it. A candidate counts its own vote only once that vote is on its disk.
    """

    def __init__(self, state: RaftState, join: JoinProtocol, replication: Replication) -> None:
        self._state = state
        self._join = join
        self._replication = replication

    def start_if_due(self) -> None:
        """Starts a pre-vote if the election timeout has passed without a message from a leader."""
        state = self._state
        if state.now < state.election_at:
            return
        state.restart_election_timer()
        if state.is_verified and state.is_voter() and not state.is_shutting_down:
            self._transition_follower_pre_candidate()

    def on_timeout_now(self, message: messages.TimeoutNow) -> None:
        """Starts an election at once, because the leader transfers its leadership to this node."""
        state = self._state
        is_eligible = state.is_verified and state.is_voter() and state.role != Role.LEADER
        if message.term == state.term and is_eligible:
            self._transition_candidate("the leader transfers leadership to this node", is_transfer=True)

    def on_request_vote(self, envelope: messages.RaftEnvelope, request: messages.RequestVote) -> None:
        """Grants or rejects a candidate's request for a vote or a pre-vote."""
        state = self._state
        if state.role == Role.EMPTY or not state.is_verified:
            return
        if not request.is_transfer and self._has_recent_leader():
            # A node that was cut off must not depose a leader whose heartbeats still reach a majority.
            if request.term < state.term:
                state.reply(envelope, messages.VoteReply(state.term, False, request.is_pre_vote))
            return
        if not request.is_pre_vote and request.term > state.term:
            state.become_follower(request.term, "", f"{envelope.sender} is a candidate in a later term")
        if request.is_pre_vote:
            self._answer_pre_vote(envelope, request)
        else:
            self._answer_vote(envelope, request)

    def on_vote_reply(self, envelope: messages.RaftEnvelope, reply: messages.VoteReply) -> None:
        """Counts a granted vote. On a rejection from a later term, becomes a follower in that term."""
        state = self._state
        if not reply.granted:
            if reply.term > state.term:
                state.become_follower(reply.term, "", f"{envelope.sender} is in a later term")
            return
        if not reply.is_pre_vote:
            self._join.record_report(envelope.sender_incarnation, reply.term, 0, vote_received=True)
        asking_role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
        asked_term = state.term + 1 if state.role == Role.PRE_CANDIDATE else state.term
        if state.role == asking_role and reply.term == asked_term:
            state.candidate.votes.add(envelope.sender_incarnation)
            self.count_votes()

    def count_votes(self) -> None:
        """Becomes a candidate after a majority of pre-votes, or the leader after a majority of votes."""
        state = self._state
        if not state.is_majority(state.candidate.votes):
            return
        if state.role == Role.PRE_CANDIDATE:
            self._transition_candidate("a majority granted this node's pre-vote")
        elif state.role == Role.CANDIDATE and state.outbox.is_persisted:
            self._replication.become_leader()

    def _transition_follower_pre_candidate(self) -> None:
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader = ""
        state.candidate.votes = {state.incarnation}
        self._request_votes(state.term + 1, is_pre_vote=True, is_transfer=False)
        # A leader sends nothing to a node that it replaced as a member while that node was cut off. The
        # JoinRequest makes this node known to such a leader, which can add it to the members again.
        self._join.send_requests()
        self.count_votes()

    def _transition_candidate(self, reason: str, is_transfer: bool = False) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.leader = ""
        state.term += 1
        state.voted_for = state.incarnation
        state.persist_vote()
        state.candidate.votes = {state.incarnation}
        state.restart_election_timer()
        state.report_role_change(reason)
        self._request_votes(state.term, is_pre_vote=False, is_transfer=is_transfer)

    def _request_votes(self, term: int, *, is_pre_vote: bool, is_transfer: bool) -> None:
        state = self._state
        log = state.log
        request = messages.RequestVote(term, log.last_index, log.last_term, is_pre_vote, is_transfer)
        for member in state.other_voters():
            state.send(member.name, member.incarnation, request, after_persist=True)

    def _has_recent_leader(self) -> bool:
        state = self._state
        if state.role == Role.LEADER:
            return True
        heard_at = state.follower.heard_leader_at
        return heard_at is not None and state.now - heard_at < state.timing.election_timeout_us

    def _is_up_to_date(self, request: messages.RequestVote) -> bool:
        """Return whether the candidate's log is at least as up to date, compared by last term, then index."""
        log = self._state.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _answer_pre_vote(self, envelope: messages.RaftEnvelope, request: messages.RequestVote) -> None:
        state = self._state
        granted = self._is_up_to_date(request) and request.term > state.term
        state.reply(envelope, messages.VoteReply(request.term if granted else state.term, granted, True))

    def _answer_vote(self, envelope: messages.RaftEnvelope, request: messages.RequestVote) -> None:
        state = self._state
        may_vote = state.voted_for in ("", envelope.sender_incarnation)
        granted = self._is_up_to_date(request) and request.term == state.term and may_vote
        if granted and not state.voted_for:
            state.voted_for = envelope.sender_incarnation
            state.persist_vote()
            state.restart_election_timer()
        state.reply(envelope, messages.VoteReply(state.term, granted, False))
