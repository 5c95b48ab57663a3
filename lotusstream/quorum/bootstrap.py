"""Cluster bootstrap, and the check that detects a disk restored from an older copy.

An incarnation is the unique id that a node writes to its empty disk (see join.py).
"""

from __future__ import annotations

from collections.abc import Sequence

from lotusstream.quorum.messages import JoinReply, JoinRequest, Member, Members, Snapshot


def is_older_copy(own: JoinRequest, reply: JoinReply) -> bool:
    """Return whether this disk has acknowledged more to another node than it now holds.

    Log indexes are compared only within the same term, since the leader of a later term may have removed
    entries that conflicted with its log.

    :param own: the term, last log index and vote that this disk holds
    :param reply: the term, log index and vote that another node received under the incarnation on this disk
    """
    if reply.reported_term != own.term:
        return reply.reported_term > own.term
    has_lost_entries = reply.reported_index > own.last_index
    has_lost_vote = reply.vote_received and not own.voted_for
    return has_lost_entries or has_lost_vote


def find_member(members: Members, incarnation: str) -> Member | None:
    """Return the member with this incarnation, or None."""
    return next((member for member in members if member.incarnation == incarnation), None)


class ClusterBootstrap:
    """Decides whether a node with an empty disk bootstraps a new cluster or waits to be added to one.

    The caller names the bootstrap members, which are the first members of a new cluster. The one whose name
    sorts first bootstraps the cluster, once all of them have reported an empty disk. A node that finds an
    existing cluster joins it as a new member instead; otherwise a node with a wiped disk could bootstrap a
    second cluster beside the first.
    """

    def __init__(self, name: str, incarnation: str, bootstrap_members: Sequence[str]) -> None:
        self._name = name
        self._incarnation = incarnation
        self._bootstrap_members = tuple(sorted({*bootstrap_members, name}))
        # By node name: incarnations of this node and of the bootstrap members that reported an empty disk.
        self._empty_nodes: dict[str, str] = {name: incarnation}

    def on_join_reply(self, sender: str, incarnation: str, reply: JoinReply) -> Snapshot | None:
        """Return the initial snapshot that this node can start from, or None if there is none yet.

        :param sender: name of the node that replied
        :param incarnation: incarnation of the node that replied
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
        """Return whether the members in the initial snapshot of a cluster include this incarnation."""
        return find_member(snapshot.members, self._incarnation) is not None

    def _join_as_founder(self, reply: JoinReply) -> Snapshot | None:
        """Return the initial snapshot if this incarnation is a founder of the sender's cluster, else None.

        A founder is a member of the initial snapshot. If its disk is empty, it missed the BootstrapCluster
        message, so it has acknowledged nothing and may start from that snapshot. Any other node waits until
        the leader sends it a snapshot, since the member list in a reply may never be committed.
        """
        if find_member(reply.founders, self._incarnation) is None:
            return None
        return Snapshot(0, 0, reply.cluster_id, reply.founders)
