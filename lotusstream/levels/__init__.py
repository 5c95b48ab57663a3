"""Levels of reduced service: which one holds, and why. No I/O, no clock.

`LevelKeeper.handle(now, event)` takes every event and action of the decision module and the keeper's own
events, and returns what is to be told to the module and what has changed. `Beside` keeps a module and a
keeper together.
"""
