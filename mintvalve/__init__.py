"""Call controller for a network of exchanges; exports its decision logic, `Controller`, and the settings."""

from mintvalve.controller import Controller
from mintvalve.interface import Settings

__all__ = ["Controller", "Settings"]
