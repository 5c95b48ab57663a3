"""Benchmarks: `python -m benchmarks NAME [--json]`. Each also measures a simple baseline in the same run."""
