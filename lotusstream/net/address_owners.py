"""Which listed endpoint has an address, if the list names several for it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from lotusstream import interface as api
from lotusstream.net.connection import Address
from lotusstream.protocol.discovery import ListedEndpoint

ChangedEntries = dict[api.EndpointId, ListedEndpoint]


def removed(listed: ListedEndpoint) -> ListedEndpoint:
    """Returns the entry with the status of a removed endpoint."""
    return replace(listed, entry=replace(listed.entry, status=api.EndpointStatus.REMOVED))


class AddressOwners:
    """Finds the endpoints whose address another endpoint has taken over.

    A new process may come up at the address of one that has gone, and be listed before the list says that the
    older one has gone. Attempts for the older one would run at the new process, which may belong to another
    zone or deduplication cell.
    """

    def __init__(self, listed: Mapping[api.EndpointId, ListedEndpoint]) -> None:
        """`listed`: the endpoint list, which the caller changes as `resolve` says."""
        self._listed = listed
        self._owners: dict[Address, api.EndpointId] = {}
        # Endpoints that discovery lists although another one has taken over this address of theirs.
        self._superseded: dict[api.EndpointId, Address] = {}

    def is_superseded(self, listed: ListedEndpoint) -> bool:
        """Whether another endpoint has taken over the address of this one, which is not to be listed then."""
        if listed.address is None or not _is_present(listed):
            return False
        return self._superseded.get(listed.entry.id) == listed.address

    def resolve(self, changed: ChangedEntries) -> None:
        """Replaces or adds the entries of endpoints whose address is taken over: they are removed.

        An endpoint that is new at an address takes it over. Of two that are new there, the one that started
        last does, or else the later entry.

        :param changed: the changed entries of one update, none of which is superseded already.
        """
        for listed in list(changed.values()):
            before = self._listed.get(listed.entry.id)
            if before is not None and before.address is not None:
                if _is_present(listed) and listed.address in (None, before.address):
                    continue
                self._release(listed.entry.id, before.address)
            if not _is_present(listed):
                self._superseded.pop(listed.entry.id, None)
            elif listed.address is not None:
                self._claim(listed, listed.address, changed)

    def _release(self, endpoint_id: api.EndpointId, address: Address) -> None:
        if self._owners.get(address) != endpoint_id:
            return
        del self._owners[address]
        for superseded in [each for each, lost in self._superseded.items() if lost == address]:
            del self._superseded[superseded]

    def _claim(self, listed: ListedEndpoint, address: Address, changed: ChangedEntries) -> None:
        rival_id = self._owners.get(address)
        self._owners[address] = listed.entry.id
        if rival_id is None or rival_id == listed.entry.id:
            return
        rival = changed.get(rival_id) or self._listed.get(rival_id)
        if rival is None or not _is_present(rival) or rival.address != address:
            return
        loser = rival
        if rival_id in changed and rival.entry.started_at > listed.entry.started_at:
            loser = listed
            self._owners[address] = rival_id
        self._superseded[loser.entry.id] = address
        changed[loser.entry.id] = removed(loser)


def _is_present(listed: ListedEndpoint) -> bool:
    return listed.entry.status is not api.EndpointStatus.REMOVED
