"""Decisions on load: pure code that takes time and random numbers as arguments.

Nothing here imports sockets, HTTP, the event loop, a clock or the platform's
adapter; a test holds that.
"""
