import sys

import pytest
from loguru import logger

from croftchute.demo.fleet import Fleet


@pytest.fixture(autouse=True, scope="session")
def quiet_logs():
    logger.remove()
    logger.add(sys.stderr, level="WARNING")


@pytest.fixture
def fleet():
    """Two halls with two boxes each, configured and settled."""
    made = Fleet()
    try:
        made.wait_in_force(made.submit(made.document()).revision)
        yield made
    finally:
        made.stop()
