"""One gateway examines engines for all: whom to look at when, and what others make of its news. No I/O."""
