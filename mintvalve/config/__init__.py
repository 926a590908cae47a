"""The tool that writes and checks the program's configuration, from an inventory of applications."""
