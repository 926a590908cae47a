"""Measurements of the project, one command each; results go to docs/measurements/."""
