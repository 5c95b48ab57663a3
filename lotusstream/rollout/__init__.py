"""Rolling changes in stages: what is changed next, how old and new compare, when to go back. No I/O."""
