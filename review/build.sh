#!/bin/sh
# The stand-ins of the cases are Python files without requirements, so nothing has to be compiled or installed.
# This checks that they and the cases can be parsed by the Python that the build of the deploy file has set up.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -B -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
    print("ready:", path)
'
