"""Exhaustively checked specification of the core protocol.

Its transitions call the product's own folds, so it can't drift from them.
"""
