"""The command line: ``croftchute GROUP COMMAND``; errors end with an exit status by class."""

from __future__ import annotations

import json
import sys

import fire

from croftchute.cli.commands import Commands
from croftchute.errors import CroftchuteError


def main() -> None:
    """Run one command."""
    try:
        fire.Fire(Commands(), name="croftchute")
    except CroftchuteError as error:
        if "--json" in sys.argv or "--json=True" in sys.argv:
            print(json.dumps({"error": error.code.value, "message": error.message}))
        for fault in error.faults:
            print(f"{fault.path}: {fault.message} [{fault.code.value}]", file=sys.stderr)
        print(f"croftchute: {error.message} [{error.code.value}]", file=sys.stderr)
        sys.exit(error.exit_status)


if __name__ == "__main__":
    main()
