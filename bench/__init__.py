"""Demonstration, fault scenarios and measurements of `chervilarch-router`.

Only `log_cost` measures `chervilarch-gateway`, with the stand-ins of the soak.
"""
