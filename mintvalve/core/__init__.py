"""The call model: calls, attempts, outcomes, releases; independent of sockets and wire formats."""
