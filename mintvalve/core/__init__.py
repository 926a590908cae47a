"""Calls, attempts and outcomes; no wire, socket or name service is known here."""
