"""The daemon's command line: ``croftchuted SETTINGS.json``."""

from __future__ import annotations

import signal
import sys
import threading
from pathlib import Path

from loguru import logger

from croftchute.daemon.box_process import BoxProcess
from croftchute.daemon.heap import map_large_blocks
from croftchute.errors import Code, CroftchuteError
from croftchute.settings import read_settings

USAGE = "usage: croftchuted SETTINGS.json"
USAGE_STATUS = 2
CUT_OFF_STATUS = 9


def main() -> None:
    """Run one box until SIGTERM or SIGINT, then drain it."""
    if len(sys.argv) != 2 or sys.argv[1] in ("-h", "--help"):
        print(USAGE)
        sys.exit(0 if "--help" in sys.argv or "-h" in sys.argv else USAGE_STATUS)
    try:
        sys.exit(run(Path(sys.argv[1])))
    except CroftchuteError as error:
        for fault in error.faults:
            print(f"{fault.path}: {fault.message} [{fault.code.value}]", file=sys.stderr)
        print(f"croftchuted: {error.message} [{error.code.value}]", file=sys.stderr)
        sys.exit(error.exit_status)


def run(path: Path) -> int:
    """Run a box with these settings; the exit status says whether its end cut anything off."""
    settings = read_settings(path)
    map_large_blocks()
    logger.remove()
    logger.add(sys.stdout, serialize=True, level=settings.log_level)
    try:
        box = BoxProcess(settings=settings)
    except OSError as error:
        message = f"cannot listen: {error}"
        raise CroftchuteError(Code.SETTINGS_INVALID, message) from None
    asked_to_stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: asked_to_stop.set())
    box.start()
    logger.bind(
        box=settings.box,
        http_port=box.http.port,
        admin_port=box.admin.port,
        peer_port=box.peers.port,
    ).info("box_started")
    asked_to_stop.wait()
    cut_off = box.drain(settings.drain_s)
    logger.bind(cut_off=cut_off).info("box_stopped")
    box.stop()
    return CUT_OFF_STATUS if cut_off else 0


if __name__ == "__main__":
    main()
