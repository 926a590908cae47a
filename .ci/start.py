"""Checks that an installed controller starts, serves and ends with code 0: `start.py PROGRAM SITE`.

SITE is a folder of configurations as `mintvalve config write` makes it; the first one is used.
"""

import json
import signal
import subprocess
import sys
from pathlib import Path

program, site = sys.argv[1], Path(sys.argv[2])
config = json.loads(next(iter(sorted(site.rglob("config.json")))).read_text())
config |= {"listen": "127.0.0.1:0", "nameserver": "127.0.0.1:9", "known": {"seq": 0, "results": []}}
path = site / "start.json"
path.write_text(json.dumps(config))
with subprocess.Popen([program, "--config", str(path)], stderr=subprocess.PIPE, text=True) as process:
    assert process.stderr is not None
    serves = any("phase=serving" in line for line in process.stderr)
    process.send_signal(signal.SIGTERM)
    process.stderr.read()
    code = process.wait()
print("it logged phase=serving" if serves else "it never logged phase=serving", f"and ended with code {code}")
sys.exit(0 if serves and code == 0 else 1)
