"""Stand-ins of the cases from `review/11` on: platform, servers, clients."""
