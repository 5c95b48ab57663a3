"""Rendezvous hashing: pseudo-random draws determined by a name and a seed."""

from __future__ import annotations

import zlib

MASK_32_BITS = 0xFFFFFFFF


def unit_hash(name: bytes, seed: int) -> float:
    """Returns the draw of a name: a pseudo-random number in (0, 1] determined by the name and a 32-bit seed.

    CRC-32 alone is affine: another seed only XORs the checksums of all names with the same value. Names with
    similar checksums would have similar draws for every seed. A name without similar ones would have the
    lowest draw disproportionately often, and this bias would be the same for all gateways. The finalizer of
    MurmurHash3 (Appleby) makes the draws of any two seeds independent.
    """
    mixed = zlib.crc32(name, seed)
    mixed = (mixed ^ mixed >> 16) * 0x85EBCA6B & MASK_32_BITS
    mixed = (mixed ^ mixed >> 13) * 0xC2B2AE35 & MASK_32_BITS
    return ((mixed ^ mixed >> 16) + 1) / 2**32
