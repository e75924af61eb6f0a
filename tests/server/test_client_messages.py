"""The handler of client messages, with fakes for the connection and the admission actor."""

import json
import time
import types

import pytest

from vetchford.protocol.messages import IncomingRequest
from vetchford.server.client_messages import MessageHandler


class FakeTarget:
    """The settings of one request class; records the requests that are passed on."""

    def __init__(self):
        self.request_classes, self.tenants, self.ready, self.metrics = {"read": 0}, {}, True, None
        self.admission, self.passed_on = self, []

    def request_arrived(self, client, request):
        raise AssertionError("it is posted, not called")

    def post_when_room(self, method, client, request):
        self.passed_on.append(request)


def connection(number):
    return types.SimpleNamespace(
        number=number, open_requests=set(), bad_message_count=0, unread_since_unix_ms=0.0
    )


def body(rpc_id, **fields):
    params = {"txn": f"a{rpc_id}", "door": time.time() * 1000.0, "ram": 1.0, "content": "", **fields}
    return json.dumps({"jsonrpc": "2.0", "id": rpc_id, "method": "read", "params": params}).encode()


@pytest.mark.parametrize("own_numbers", [range(5), [7] * 5], ids=["ever new", "another's"])
def test_a_client_is_its_connection_whatever_number_it_gives_itself(own_numbers):
    # Guards against a client that takes the share of bytes of others, under ever new names or under theirs.
    target = FakeTarget()
    handler = MessageHandler(target)
    hostile, other = connection(1), connection(2)
    for rpc_id, own_number in enumerate(own_numbers, 1):
        handler.handle(hostile, body(rpc_id, lb=own_number))
    handler.handle(other, body(1, lb=7))
    assert all(isinstance(request, IncomingRequest) for request in target.passed_on)
    assert [request.client_number for request in target.passed_on] == [1, 1, 1, 1, 1, 2]
