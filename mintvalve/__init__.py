"""mintvalve: the decisions of a call controller."""

from mintvalve.controller import Controller
from mintvalve.interface import Settings

__all__ = ["Controller", "Settings"]
