"""How a cluster is bootstrapped, and how an older copy of a disk is recognised."""

from __future__ import annotations

from collections.abc import Sequence

from lotusstream.quorum.messages import JoinReply, JoinRequest, Member, Members, Snapshot


def is_older_copy(own: JoinRequest, reply: JoinReply) -> bool:
    """Whether this disk has acknowledged more to another node than it now holds.

    An index counts only in the same term: a later leader may rightly have removed the entry.

    :param own: what the disk holds
    :param reply: what the disk has acknowledged to another node
    """
    if reply.reported_term != own.term:
        return reply.reported_term > own.term
    has_lost_entries = reply.reported_index > own.last_index
    has_lost_vote = reply.vote_received and not own.voted_for
    return has_lost_entries or has_lost_vote


def find_member(members: Members, incarnation: str) -> Member | None:
    """The member of this incarnation, or None."""
    return next((member for member in members if member.incarnation == incarnation), None)


class ClusterBootstrap:
    """Decides, for a node with an empty disk, which cluster it becomes a member of.

    A cluster is bootstrapped once, when all bootstrap members run with empty disks, by the first of them by
    name. A node that finds an existing cluster joins it as a new member instead; otherwise a wiped disk could
    bootstrap a second cluster beside the first.
    """

    def __init__(self, name: str, incarnation: str, bootstrap_members: Sequence[str]) -> None:
        self._name = name
        self._incarnation = incarnation
        self._bootstrap_members = tuple(sorted({*bootstrap_members, name}))
        self._empty_nodes: dict[str, str] = {name: incarnation}  # by name: incarnation without a cluster

    def on_join_reply(self, sender: str, incarnation: str, reply: JoinReply) -> Snapshot | None:
        """The first snapshot to begin with, once it is known.

        :param incarnation: the sender's
        """
        if reply.members:
            self._empty_nodes.pop(sender, None)
            return self._join_as_founder(reply)
        if sender in self._bootstrap_members:
            self._empty_nodes[sender] = incarnation
        is_founder = self._name == self._bootstrap_members[0]
        if not is_founder or len(self._empty_nodes) < len(self._bootstrap_members):
            return None
        members = tuple(Member(name, self._empty_nodes[name]) for name in self._bootstrap_members)
        return Snapshot(0, 0, f"{self._incarnation}-{len(members)}", members)

    def accepts(self, snapshot: Snapshot) -> bool:
        """Whether the first snapshot of a cluster names this incarnation."""
        return find_member(snapshot.members, self._incarnation) is not None

    def _join_as_founder(self, reply: JoinReply) -> Snapshot | None:
        """The first snapshot, if this node is one of the first members.

        Such a node has not received the bootstrap message yet, so it has acknowledged nothing. Any other node
        waits for the leader: the member list in a reply may never be committed.
        """
        if find_member(reply.founders, self._incarnation) is None:
            return None
        return Snapshot(0, 0, reply.cluster_id, reply.founders)
