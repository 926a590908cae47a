"""mintvalve: the decisions of a call controller."""

from mintvalve.choice import Controller
from mintvalve.interface import Settings

__all__ = ["Controller", "Settings"]
