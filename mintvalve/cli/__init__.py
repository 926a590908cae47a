"""Command-line sub-commands around the library; they hold no decision logic.

The package is not imported when the platform starts the program without a sub-command.
"""
