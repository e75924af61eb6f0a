"""Client of one agent over its Unix socket: one request and one reply per connection."""

import json
import socket
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from vetchford.errors import VetchfordError
from vetchford.fleet.agent_messages import (
    ENCODED_REFUSAL,
    MALFORMED,
    AgentRequest,
    ControlRequest,
    EncodedReply,
    ExplainReply,
    ExplainRequest,
    FindRequest,
    HistoryReply,
    HistoryRequest,
    PlanReply,
    RolloutRequest,
    RolloutStatus,
    StatusReply,
    StatusRequest,
    decode_explanation,
    decode_history,
    decode_plan,
    decode_rollout,
    decode_status,
    encode,
    submit_request,
)
from vetchford.fleet.rollout import RefusedError

DEFAULT_TIMEOUT_S = 10.0  # for an agent's reply

ReplyT = TypeVar("ReplyT")
ReplyT_co = TypeVar("ReplyT_co", covariant=True)


class UnreachableError(VetchfordError):
    """No reply came from the agent at `path` because of `problem`; the agent's state is unknown."""

    def __init__(self, path: str, problem: Exception | str) -> None:
        """Initialize the error; `path`: the agent's socket; `problem`: the exception raised by its use."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class MalformedReplyError(VetchfordError):
    """A reply cannot be decoded by this version; `problem` is the exception that decoding raised."""

    def __init__(self, problem: Exception) -> None:
        """Initialize the error; `problem`: one of `MALFORMED`."""
        super().__init__(f"malformed reply from an agent: {type(problem).__name__}: {problem}")
        self.problem = problem


@dataclass(frozen=True, slots=True)
class ReceivedReply(Generic[ReplyT_co]):
    """A reply that is no refusal: decoded, and as received, which `--json` prints."""

    decoded: ReplyT_co
    encoded: EncodedReply


def send_request(path: str, request: Mapping[str, Any], timeout_s: float = DEFAULT_TIMEOUT_S) -> EncodedReply:
    """Send an encoded request to the agent at `path`; return its reply. Raises UnreachableError."""
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(timeout_s)
            sock.connect(path)
            with sock.makefile("rwb") as stream:
                stream.write(json.dumps(request).encode() + b"\n")
                stream.flush()
                encoded: EncodedReply = json.loads(stream.readline())
                return encoded
    except (OSError, ValueError) as problem:
        raise UnreachableError(path, problem) from None


def decode_reply(encoded: EncodedReply, decode: Callable[[EncodedReply], ReplyT]) -> ReceivedReply[ReplyT]:
    """Decode a reply. Raises RefusedError if it is a refusal, or MalformedReplyError."""
    try:
        if ENCODED_REFUSAL in encoded:
            raise RefusedError(encoded[ENCODED_REFUSAL])
        return ReceivedReply(decode(encoded), encoded)
    except MALFORMED as problem:
        raise MalformedReplyError(problem) from None


class AgentClient:
    """Requests to one agent. Any thread may call it, as each request uses a new connection.

    Each method raises UnreachableError, RefusedError for a refusal, or MalformedReplyError.
    """

    def __init__(self, path: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """Initialize the client; `path`: the agent's socket; `timeout_s`: of each socket operation."""
        self.path = path
        self.timeout_s = timeout_s

    def status(self) -> ReceivedReply[StatusReply]:
        """Return all instances and rollouts."""
        return self._request(StatusRequest(), decode_status)

    def submit(self, rollout: RolloutRequest) -> ReceivedReply[RolloutStatus]:
        """Start a rollout."""
        return self._request(submit_request(rollout), decode_rollout)

    def plan(self, rollout: RolloutRequest) -> ReceivedReply[PlanReply]:
        """Return the plan of a rollout that `submit` would start."""
        return self._request(submit_request(rollout, dry_run=True), decode_plan)

    def control(self, request: ControlRequest) -> ReceivedReply[RolloutStatus]:
        """Pause, resume or abort a rollout."""
        return self._request(request, decode_rollout)

    def find(self, rollout_id: str) -> ReceivedReply[RolloutStatus]:
        """Return the status of one rollout."""
        return self._request(FindRequest(rollout_id), decode_rollout)

    def history(self) -> ReceivedReply[HistoryReply]:
        """Return the newest entries of the history in the agent's store."""
        return self._request(HistoryRequest(), decode_history)

    def explain(self, instance: str) -> ReceivedReply[ExplainReply]:
        """Return why an instance is in its state."""
        return self._request(ExplainRequest(instance), decode_explanation)

    def _request(
        self, request: AgentRequest, decode: Callable[[EncodedReply], ReplyT]
    ) -> ReceivedReply[ReplyT]:
        return decode_reply(send_request(self.path, encode(request), self.timeout_s), decode)


def send_request_to_all(
    paths: list[str], request: AgentRequest, timeout_s: float = DEFAULT_TIMEOUT_S
) -> dict[str, EncodedReply | UnreachableError]:
    """Send a request to all agents; return by path each encoded reply or the error in its place.

    The requests are sent in parallel, so that a slow agent does not delay the others.
    """
    encoded_request = encode(request)

    def send_request_to_one(path: str) -> EncodedReply | UnreachableError:
        try:
            return send_request(path, encoded_request, timeout_s)
        except UnreachableError as problem:
            return problem

    with ThreadPoolExecutor(len(paths)) as pool:
        return dict(zip(paths, pool.map(send_request_to_one, paths), strict=True))
