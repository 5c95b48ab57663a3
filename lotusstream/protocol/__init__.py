"""The gateway's protocols as bytes: no socket, no clock and no decision here."""
