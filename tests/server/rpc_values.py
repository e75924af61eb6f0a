"""Values of the client protocol, shared by the tests of the server process."""

import base64

IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def content(message):
    """Return the decoded content of an answer."""
    return base64.b64decode(message["result"]["content"])
