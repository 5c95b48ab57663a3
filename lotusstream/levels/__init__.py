"""Degradation levels: which level of reduced service is in force, and why.

The package decides and does no I/O. `admission` stands in front of the decision module; `controller` changes
levels by conditions over signals, which `signal_evaluator` computes from the events and actions of the
decision module. Times are whole microseconds of the caller's clock.
"""
