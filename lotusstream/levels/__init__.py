"""Degradation levels: decides which level of reduced service is in force.

The package does no I/O. `controlled_module` puts the level controller in front of the decision module.
`controller` changes the level when a condition over signals holds. `signal_evaluator` computes the signals
from the events and actions of the decision module. Times are whole microseconds of the caller's clock.
"""
