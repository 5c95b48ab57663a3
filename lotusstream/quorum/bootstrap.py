"""How a keeper on an empty disk finds its group, and how one that starts again learns whether its disk is
an older copy of itself."""

from __future__ import annotations

from collections.abc import Sequence

from lotusstream.quorum.messages import JoinReply, JoinRequest, Member, Members, Snapshot


def is_older_copy(mine: JoinRequest, heard: JoinReply) -> bool:
    """Somebody has heard from this disk what it does not hold. An index counts only in the same term: later
    terms may rightly have cut it."""
    if heard.reported_term != mine.term:
        return heard.reported_term > mine.term
    return heard.reported_index > mine.last_index or (heard.vote_received and not mine.voted_for)


class ClusterBootstrap:
    """An empty disk among the named keepers. A group is founded once, with all of them there and empty, by
    the first by name: whoever comes to a founded group is a new member of it."""

    def __init__(self, name: str, disk: str, named: Sequence[str]) -> None:
        self._name, self._disk, self._named = name, disk, tuple(sorted({*named, name}))
        self._empty: dict[str, str] = {name: disk}

    def on_join_reply(self, sender: str, disk: str, told: JoinReply) -> Snapshot | None:
        """What to begin with, once it is known: an index of 0, or nothing yet."""
        if told.members:
            self._empty.pop(sender, None)
            # a founder that has not heard of it yet, and so has promised nothing; whoever came later waits
            # for the leader: a change of members that is heard of may never be agreed on
            mine = find_member(told.founders, self._disk) is not None
            return Snapshot(0, 0, told.cluster_id, told.founders) if mine else None
        if sender in self._named:
            self._empty[sender] = disk
        if self._name != self._named[0] or len(self._empty) < len(self._named):
            return None
        members = tuple(Member(name, self._empty[name]) for name in self._named)
        return Snapshot(0, 0, f"{self._disk}-{len(members)}", members)

    def accepts(self, found: Snapshot) -> bool:
        return find_member(found.members, self._disk) is not None


def find_member(members: Members, disk: str) -> Member | None:
    return next((member for member in members if member.incarnation == disk), None)
