"""Randomized soak test of `chervilarch-gateway` under injected faults.

The gateways are real processes. Their callers, endpoints and store are
stand-ins within the process of the soak.
"""
