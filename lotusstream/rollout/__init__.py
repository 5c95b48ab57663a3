"""Staged rollouts: which gateway changes next, how old and new compare, when to roll back. No I/O."""
