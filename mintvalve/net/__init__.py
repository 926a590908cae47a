"""Sockets, wires and the loop that turns them."""
