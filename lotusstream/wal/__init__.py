"""A write-ahead log: records on disk that survive a crash of the process or the machine."""
