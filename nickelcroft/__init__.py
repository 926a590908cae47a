"""nickelcroft: the decisions of a call controller."""

from nickelcroft.choice import Controller
from nickelcroft.interface import Settings

__all__ = ["Controller", "Settings"]
