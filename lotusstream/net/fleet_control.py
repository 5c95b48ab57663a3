"""Operator commands on the fleet: peers, quorum, leases and replicas.

The keys of the returned dicts are part of the output of `ctl --json`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lotusstream.leases import holder as lease_holder
from lotusstream.leases.table import RevokeLease
from lotusstream.net import clock
from lotusstream.net.control import ControlRejectedError
from lotusstream.operator.fleet import SHARD_CONTROL_TASK
from lotusstream.protocol import peers as wire

if TYPE_CHECKING:
    from lotusstream.net.fleet import Fleet


class FleetControl:
    """Carries out operator commands on one gateway. A method that fails raises ControlRejectedError."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def peers(self) -> dict[str, Any]:
        """Return the state of the links to other gateways, and the connections from them.

        "callers" holds the number of open connections by the name of the gateway that opened them.
        """
        fleet = self._fleet
        return {
            "name": fleet.name,
            "group": fleet.settings.group,
            "links": {name: link.status for name, link in fleet.links.items()},
            "callers": dict(fleet.server.connection_counts) if fleet.server else {},
        }

    async def quorum(self) -> dict[str, Any]:
        """Return the state of the quorum, as seen by this gateway's node and as seen by the leader."""
        raft_actor = self._fleet.raft_actor
        here = raft_actor.view() if raft_actor else None
        try:
            reply = await self._fleet.quorum_client.ask_leader(wire.LeaseTableRequest)
            return {"here": here, "agreed": reply.view, "why": ""}
        except ControlRejectedError as error:
            return {"here": here, "agreed": None, "why": str(error)}

    async def change_membership(self, name: str, add: bool) -> dict[str, Any]:
        """Adds a node to the quorum, or removes a member."""
        settings = self._fleet.settings
        if add and settings.quorum_member(name) is None:
            known = ", ".join(member.name for member in settings.quorum_members)
            raise ControlRejectedError("unknown", f"no keeper '{name}' in the operator file: it has {known}")
        await self._fleet.quorum_client.ask_leader(
            lambda number: wire.MembershipChangeRequest(number, name, add)
        )
        return await self.quorum()

    async def leases(self) -> dict[str, Any]:
        """Return the leases in the quorum's table, and the leases and notes of this gateway."""
        fleet = self._fleet
        quorum = await self.quorum()
        now = clock.boot_clock()
        holder = fleet.lease_holder
        notes = fleet.proposed_notes
        return {
            "name": fleet.name,
            "brings": {key: {"version": note[0], "value": note[1]} for key, note in notes.items()},
            "here": {task: holder.holder.may_act(now, task) for task in holder.tasks},
            "held_us": {task: now - held_since for task, held_since in holder.held_since.items()},
            "agreed": quorum["agreed"],
            "why": quorum["why"],
            "examined": fleet.health_reports.view() if fleet.health_reports is not None else None,
        }

    async def revoke_lease(self, task: str, successor: str) -> dict[str, Any]:
        """Revokes a task's lease. The lease becomes free at once if held here, else when it expires."""
        fleet = self._fleet
        agreed = (await self.leases())["agreed"] or {}
        lease = next((row for row in agreed.get("leases", []) if row["task"] == task), None)
        if lease is None or not lease["token"]:
            raise ControlRejectedError("unknown", f"the lease of '{task}' is not held")
        if lease["holder"] == fleet.name and task in fleet.lease_holder.tasks:
            fleet.lease_holder.post(lease_holder.LeaseUnwanted(task, successor))
            fleet.lease_holder.post(lease_holder.LeaseWanted(task))
        else:
            operation = RevokeLease(task, lease["token"], successor)
            reply = await fleet.quorum_client.ask_leader(
                lambda number: wire.LeaseOperationRequest(number, operation)
            )
            if reply.result is not None and not reply.result.done:
                raise ControlRejectedError("unknown", reply.result.reason)
        return await self.leases()

    def replica_status(self) -> dict[str, Any]:
        """Return the state of the replicas that this gateway hosts."""
        if self._fleet.replication is None:
            raise ControlRejectedError(
                "absent", "this gateway hosts no replicas: the operator file has no 'holder' with its name"
            )
        return self._fleet.replication.view()

    async def drain(self, machine: str, undo: bool) -> dict[str, Any]:
        """Drains a machine: all its replicas move to other machines.

        :param undo: True lets a drained machine host replicas again
        """
        settings = self._fleet.settings
        if settings.copies is None:
            raise ControlRejectedError("absent", "the operator file has no 'copies'")
        known = sorted({replica.machine for replica in settings.replicas})
        if machine not in known:
            raise ControlRejectedError(
                "unknown", f"no machine '{machine}' in the operator file: it has {', '.join(known)}"
            )
        task = self._fleet.shard_control_task
        if task is None or not task.decides:
            holder = await self._shard_controller()
            raise ControlRejectedError("busy", f"'{holder or 'nobody'}' decides on copies: ask there")
        return await task.drain(machine, undo)

    async def _shard_controller(self) -> str:
        """Return the name of the gateway that runs the shard controller; '' where it is not known."""
        agreed = (await self.quorum())["agreed"] or {"leases": ()}
        holders = (row["holder"] for row in agreed["leases"] if row["task"] == SHARD_CONTROL_TASK)
        return next(holders, "")
