"""Stand-ins for the systems around `chervilarch-router`, as processes.

The tests, fault scenarios and measurements of the router start them. The soak
of `chervilarch-gateway` has stand-ins of its own.
"""
