#!/bin/bash
# Builds what the cases 6 to 10 need beside the deploy file's build: the stand-ins are Python and need no compiler,
# so that this checks that they and the cases compile in the program's own environment.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import dns.message'
for source in review/common-2/*.py review/{6,7,8,9,10}/case.py; do
  if test -e "$source"; then
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
  fi
done
