"""Rendezvous hashing: draws that are fixed for a name and a seed, and independent for any two seeds."""

from __future__ import annotations

import zlib

MASK_32_BITS = 0xFFFFFFFF


def unit_hash(name: bytes, seed: int) -> float:
    """Returns the draw of a name at a seed of 32 bits, in (0, 1].

    CRC-32 alone is affine, so another seed only XORs every name's sum with the same value. Names that lie
    close to one another would share their draws at every seed, one that lies alone would win all of its
    neighbourhood, and which names win would be uneven in the same way for every gateway. The steps after it
    are the finaliser of MurmurHash3 (Appleby), which makes the sums independent.
    """
    mixed = zlib.crc32(name, seed)
    mixed = (mixed ^ mixed >> 16) * 0x85EBCA6B & MASK_32_BITS
    mixed = (mixed ^ mixed >> 13) * 0xC2B2AE35 & MASK_32_BITS
    return ((mixed ^ mixed >> 16) + 1) / 2**32
