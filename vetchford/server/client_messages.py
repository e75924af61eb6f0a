"""Handles the messages of clients: passes requests to the admission actor and replies to all others."""

from typing import Any, Protocol

from vetchford.protocol import json_rpc
from vetchford.protocol.messages import IncomingRequest
from vetchford.protocol.receive_buffer import UnreadableStreamError
from vetchford.runtime.actor import Mailbox
from vetchford.runtime.metrics import Metrics
from vetchford.runtime.timers import unix_time_ms
from vetchford.server import connection_limits

MAX_LOGGED_METHOD_LENGTH = 40  # characters
MAX_LOGGED_PARAMS_LENGTH = 120  # characters
NO_TENANT = -1  # tenant index of a request that names no tenant


class ClientEvents(Mailbox, Protocol):
    """The events of client connections, which are posted to the admission actor's mailbox."""

    def request_arrived(self, client: Any, request: IncomingRequest) -> None:
        """Handle a request that was read from the connection `client`."""

    def client_disconnected(self, client: Any) -> None:
        """Handle the loss of the connection `client`."""


class Client(Protocol):
    """The connection that a message was received on."""

    number: int  # differs from those of all other connections
    open_requests: set[int | str]  # ids; each is added before its request is passed to the admission actor
    bad_message_count: int
    unread_since_unix_ms: float  # nothing that is read now was received before this time

    def reply(self, parts: list[bytes]) -> None:
        """Send a reply that belongs to no open request."""


class RequestTarget(Protocol):
    """The settings that messages are checked against, and the admission actor that receives the requests."""

    request_classes: dict[str, int]  # index of each request class, by method name
    tenants: dict[str, int]  # index of each tenant, by name
    ready: bool  # the result of health checks
    admission: ClientEvents
    metrics: Metrics


class MessageHandler:
    """Handles the messages of all clients, each on the thread that read it; has no state of its own."""

    def __init__(self, target: RequestTarget) -> None:
        """Create a handler that checks messages against `target`."""
        self.target = target

    def handle(self, client: Client, body: memoryview) -> None:
        """Handle the body of one message; a bad message is replied to with an error.

        Raises:
            UnreadableStreamError: The client has sent MAX_BAD_MESSAGES bad messages.
            OSError: The client does not read its replies.
        """
        try:
            method, rpc_id, params = json_rpc.decode(body)
            if rpc_id in client.open_requests:
                raise json_rpc.BadMessageError(json_rpc.INVALID_REQUEST, f"id {rpc_id} is in use")
            if rpc_id is None:
                self._handle_notification(client, method, params)
            elif method == json_rpc.HEALTH_CHECK:
                client.reply(json_rpc.health(rpc_id, self.target.ready))
            else:
                self._handle_request(client, method, rpc_id, params)
        except json_rpc.BadMessageError as error:
            self._handle_bad_message(client, error)

    def _handle_notification(self, client: Client, method: str, params: dict[str, Any]) -> None:
        # Not counted as bad messages: load balancers have been seen to send hundreds of notifications at a
        # time, and closing the connection for that would fail its open requests. The event is logged for any
        # client, also one that is no load balancer.
        self.target.metrics.log_sampled(
            "balancer_notification",
            method=method[:MAX_LOGGED_METHOD_LENGTH],
            params=str(params)[:MAX_LOGGED_PARAMS_LENGTH],
        )
        if method in self.target.request_classes:  # a request without an id, which can't be answered
            client.reply(json_rpc.error(None, json_rpc.INVALID_REQUEST, "field 'id' is missing"))

    def _handle_bad_message(self, client: Client, error: json_rpc.BadMessageError) -> None:
        self.target.metrics.log_sampled("balancer_bad_message", code=error.code, problem=str(error))
        # If the error carried the id of an open request, the client would take it for that request's answer.
        rpc_id = None if error.rpc_id in client.open_requests else error.rpc_id
        client.reply(json_rpc.error(rpc_id, error.code, str(error)))
        client.bad_message_count += 1
        if client.bad_message_count >= connection_limits.MAX_BAD_MESSAGES:
            raise UnreadableStreamError("too many bad messages") from None

    def _handle_request(self, client: Client, method: str, rpc_id: int | str, params: dict[str, Any]) -> None:
        request_class = self.target.request_classes.get(method)
        if request_class is None:
            raise json_rpc.BadMessageError(
                json_rpc.METHOD_NOT_FOUND, "unknown method: no request class has this name", rpc_id
            )
        if not isinstance(rpc_id, int):
            raise json_rpc.BadFieldError("id", "must be an integer", rpc_id, json_rpc.INVALID_REQUEST)
        over_open_limit = len(client.open_requests) >= connection_limits.MAX_OPEN_REQUESTS
        if over_open_limit and self._answer_over_open_limit(client, rpc_id, params):
            return
        request = json_rpc.decode_request(params, rpc_id, unix_time_ms())
        tenant = NO_TENANT if request.tenant is None else self.target.tenants.get(request.tenant)
        if tenant is None:
            raise json_rpc.UnknownTenantError(rpc_id)
        client.open_requests.add(rpc_id)
        incoming = _incoming_request(client, rpc_id, method, request_class, tenant, request)
        incoming.over_open_limit = over_open_limit
        admission = self.target.admission
        admission.post_when_room(admission.request_arrived, client, incoming)

    def _answer_over_open_limit(self, client: Client, rpc_id: int, params: dict[str, Any]) -> bool:
        """Answer a request beyond the limit on open requests, unless its key must be looked up first.

        Not a bad message: the server is not told when a client abandons a request, so a client that abandoned
        many requests may send as many again. A repeat of a request that ran must not be rejected.
        """
        if not json_rpc.has_idempotency_key(params):
            self.target.metrics.increment("rejected_over_open")
            client.reply(json_rpc.rejected(rpc_id, False, 0.0))
            return True
        if len(client.open_requests) >= connection_limits.MAX_OPEN_WITH_REPEATS:
            self.target.metrics.increment("failed_over_open")
            client.reply(json_rpc.failed(rpc_id))
            return True
        return False


def _incoming_request(
    client: Client, rpc_id: int, method: str, request_class: int, tenant: int, request: json_rpc.RequestParams
) -> IncomingRequest:
    """Return a request for the admission actor, with its class and tenant as indices."""
    return IncomingRequest(
        rpc_id=rpc_id,
        request_id=request.request_id,
        request_class=request_class,
        method=method,
        tenant=tenant,
        client_number=client.number,
        arrived_at_unix_ms=request.arrived_at_unix_ms,
        unread_since_unix_ms=client.unread_since_unix_ms,
        client_timeout_ms=request.client_timeout_ms,
        work_ms=request.work_ms,
        memory_kb=request.memory_kb,
        idempotency_key=request.idempotency_key,
        content=request.content,
    )
