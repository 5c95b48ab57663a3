"""Encoding and decoding of the gateway's protocols, without sockets, clocks or decisions."""
