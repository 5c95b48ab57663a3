"""What holders tell each other and write down."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import msgspec

from lotusstream.copies.shards import Place


class Held(IntEnum):
    SENT = 1  # a gateway was to send it: it may have run
    ANSWERED = 2
    UNRUN = 3  # its gateway gave it up, and nothing had left


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one key. `print`: of its statement; `gateway`: who sent it. `until`: microseconds of
    the Unix clock, from when on it is as if never seen. `since`: from when on it may have run. `zone` and
    `cell`: of the engines that drop its repeats, as far as that matters."""

    key: str
    print: str
    state: Held
    gateway: str
    until: int
    answer: bytes = b""
    zone: str = ""
    cell: int = -1
    since: int = 0


class Op(msgspec.Struct, frozen=True, array_like=True):
    """One change of one shard. `epoch`: in which it was made."""

    epoch: int
    seq: int
    holding: Holding


class Assigned(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a shard in an epoch, as agreed in the quorum. `session`: the run of the home's program that
    may act. `joining` get everything and count for nothing yet."""

    shard: int
    epoch: int
    home: Place
    session: str
    backups: tuple[Place, ...] = ()
    joining: tuple[Place, ...] = ()

    @property
    def all(self) -> tuple[Place, ...]:
        return (self.home, *self.backups, *self.joining)


# Written down


class Kept(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class KeptOp(Kept, frozen=True, tag="op"):
    shard: int
    op: Op


class KeptWhole(Kept, frozen=True, tag="whole"):
    """A shard in place of all that was known of it, once its last part is there. `part`: from 0 on; `parts`:
    how many there are."""

    shard: int
    epoch: int
    seq: int
    holdings: tuple[Holding, ...]
    part: int = 0
    parts: int = 1


Record = KeptOp | KeptWhole


def size_of(holding: Holding) -> int:
    """About so many bytes on a line or a disk."""
    told = holding.key, holding.print, holding.gateway, holding.answer
    return 64 + sum(map(len, told))


def in_parts(holdings: Iterable[Holding], most: int) -> list[tuple[Holding, ...]]:
    """One at least. Each of `most` bytes or a little more: frames and records are bounded."""
    parts, part, size = list[tuple[Holding, ...]](), list[Holding](), 0
    for each in holdings:
        part.append(each)
        size += size_of(each)
        if size >= most:
            parts.append(tuple(part))
            part, size = [], 0
    return [*parts, tuple(part)] if part or not parts else parts


def kept_whole(shard: int, last: tuple[int, int], holdings: Iterable[Holding], most: int) -> list[KeptWhole]:
    parts = in_parts(holdings, most)
    return [KeptWhole(shard, *last, part, at, len(parts)) for at, part in enumerate(parts)]


# Told


class Word(msgspec.Struct, frozen=True, array_like=True, tag_field="is"):
    pass


class Begin(Word, frozen=True, tag="begin"):
    """The home of an epoch asks where a copy stands."""

    assigned: Assigned


class Stand(Word, frozen=True, tag="stand"):
    """The copy's last change. `session`: of this run of the copy."""

    shard: int
    epoch: int
    session: str
    last_epoch: int
    last_seq: int


class Fill(Word, frozen=True, tag="fill"):
    """Everything, in place of what the copy has, one part after the other; or, with `after`, changes that
    follow that one. `begun`: tells one filling from another."""

    shard: int
    epoch: int
    after: int
    last_epoch: int
    last_seq: int
    holdings: tuple[Holding, ...] = ()
    ops: tuple[Op, ...] = ()
    part: int = 0
    parts: int = 1
    begun: int = 0


class Filled(Word, frozen=True, tag="filled"):
    """The copy has this part, not on its disk yet: the next one may come."""

    shard: int
    epoch: int
    session: str
    part: int


class Copy(Word, frozen=True, tag="copy"):
    shard: int
    epoch: int
    op: Op


class Copied(Word, frozen=True, tag="copied"):
    """On the disk of the copy, up to this change."""

    shard: int
    epoch: int
    session: str
    seq: int


class Deposed(Word, frozen=True, tag="deposed"):
    """There is a later epoch than the one that speaks."""

    shard: int
    epoch: int


class Compare(Word, frozen=True, tag="compare"):
    """A copy that stands there too is asked for its sum of this range, of what is kept after `kept_after`."""

    shard: int
    epoch: int
    seq: int
    range: int
    kept_after: int


class Compared(Word, frozen=True, tag="compared"):
    shard: int
    epoch: int
    session: str
    seq: int
    range: int
    sum: bytes


AnyWord = Begin | Stand | Fill | Filled | Copy | Copied | Deposed | Compare | Compared
