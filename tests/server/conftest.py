"""Fixtures of the server's tests."""

import pytest
from helpers import ServerProcess


@pytest.fixture
def server(tmp_path):
    """Run a server process whose worker pool, records service and registry are fakes."""
    with ServerProcess(tmp_path) as running:
        yield running
