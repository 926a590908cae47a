"""Writes and checks the program's configuration files, from an inventory of applications."""
