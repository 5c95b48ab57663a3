"""Lots by hash: the same for the same name and seed, and independent for any two seeds."""

from __future__ import annotations

import zlib

MASK = 0xFFFFFFFF


def unit_hash(name: bytes, seed: int) -> float:
    """A lot in (0, 1]. zlib.crc32 alone won't do: CRC is affine, so another seed only XORs every name's sum
    with the same value. Names that lie close to one another then share their lots at every seed, one that
    lies alone wins all of its neighbourhood, and who draws least is uneven in the same way for everybody.
    The steps behind it are MurmurHash3's finaliser (Appleby), which makes the sums independent."""
    lot = zlib.crc32(name, seed)
    lot = (lot ^ lot >> 16) * 0x85EBCA6B & MASK
    lot = (lot ^ lot >> 13) * 0xC2B2AE35 & MASK
    return ((lot ^ lot >> 16) + 1) / 2**32
