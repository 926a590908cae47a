"""`python -m mintvalve`: runs one call controller on sockets, or a command-line verb."""

from __future__ import annotations

import argparse
import gc
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from mintvalve.composition import build_lifecycle
from mintvalve.net import logs
from mintvalve.net.websocket_options import WebSocketOptions


def read_config_file(path: Path) -> dict[str, Any]:
    """Read a config.json; raises OSError, or ValueError where it is not a JSON object."""
    config = json.loads(path.read_text())
    if not isinstance(config, dict):
        raise ValueError(f"{path} does not hold a JSON object")
    return config


def main() -> int:
    """Run the verb that is the first argument or, without one, the call controller; return the exit code.

    The platform starts the program without a verb and may give it no more than 32 MB of memory, so the
    libraries of the verbs are imported only for a verb.
    """
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        try:
            from mintvalve.cli.commands import cli
        except ModuleNotFoundError as error:
            print(f"mintvalve: the verbs need the extra 'tools': {error.name} is missing", file=sys.stderr)
            return 2
        cli()
    return serve(sys.argv[1:])


def serve(arguments: list[str]) -> int:
    """Run one call controller until a signal ends it; return the exit code.

    The code is 0 after a regular end, 1 if a listener could not be opened, and 2 if the command line or the
    configuration can't be used.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # by default it ends the process until the handler is set
    parser = argparse.ArgumentParser(prog="mintvalve", description="One call controller on sockets.")
    parser.add_argument("--config", default=os.environ.get("PROXY_CONFIG"), help="default: $PROXY_CONFIG")
    parser.add_argument("--websocket", metavar="FILE", help="open the WebSocket front that FILE describes")
    options = parser.parse_args(arguments)
    logs.configure(os.environ.get("MINTVALVE_LOG", "info"))
    if not options.config:
        parser.error("no configuration: give --config or set PROXY_CONFIG")
    try:
        websocket = WebSocketOptions.parse(Path(options.websocket).read_text()) if options.websocket else None
        path = Path(options.config)
        lifecycle = build_lifecycle(read_config_file(path), websocket, lambda: read_config_file(path))
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"mintvalve: the configuration can't be used: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # the parts built so far live until the end and need not be scanned
    lifecycle.run()
    return 1 if lifecycle.listen_failed else 0


if __name__ == "__main__":
    sys.exit(main())
