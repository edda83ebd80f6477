"""Models of the claims and the configuration of `chervilarch-router`.

They are checked exhaustively. The product's own code folds the records and
evaluates publishes, so these can't diverge; the steps of routers and operators
are modelled here.
"""
