"""Measurements: `python -m benchmarks NAME [--json]`. Each compares with a plain baseline in the same run."""
