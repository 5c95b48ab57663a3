"""Seeded runs of real gateway processes under faults, judged from outside by the rules."""
