"""Reads the operator file, which holds the operators' settings of a gateway, one directive a line.

The package is imported only if a gateway is started with an operator file, because its parser needs memory.
"""
