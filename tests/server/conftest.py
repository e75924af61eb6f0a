"""Fixtures of the server's tests."""

import pytest
from helpers import ServerProcess


@pytest.fixture
def server(tmp_path):
    """The whole server in a process of its own, against fakes of all that it talks to."""
    with ServerProcess(tmp_path) as running:
        yield running
