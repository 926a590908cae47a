"""Number analysis: finds the exchange to which a dialled number leads.

Pure decisions: nothing in this package reads a file, a socket or a clock.
"""
