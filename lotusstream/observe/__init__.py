"""Observation of a running gateway: structured log lines, and the resource usage of its process."""
