"""Asks one agent over its Unix socket: one request, one reply."""

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
    """No reply from the agent at `path`, because of `problem`: what it does is unknown."""

    def __init__(self, path: str, problem: Exception | str) -> None:
        """`path`: the agent's socket; `problem`: what its use raised."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class MalformedReplyError(VetchfordError):
    """A reply without the form that this version reads; `problem` is what reading it raised."""

    def __init__(self, problem: Exception) -> None:
        """`problem`: one of `MALFORMED`."""
        super().__init__(f"a reply that cannot be read: {type(problem).__name__}: {problem}")
        self.problem = problem


@dataclass(frozen=True, slots=True)
class Answer(Generic[ReplyT_co]):
    """A reply that is no refusal: typed, and as it came, which is what `--json` prints."""

    reply: ReplyT_co
    encoded: EncodedReply


def ask(path: str, request: Mapping[str, Any], timeout_s: float = DEFAULT_TIMEOUT_S) -> EncodedReply:
    """Return the reply of the agent at `path` to an encoded request. Raises UnreachableError."""
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(timeout_s)
            sock.connect(path)
            with sock.makefile("rwb") as lines:
                lines.write(json.dumps(request).encode() + b"\n")
                lines.flush()
                encoded: EncodedReply = json.loads(lines.readline())
                return encoded
    except (OSError, ValueError) as problem:
        raise UnreachableError(path, problem) from None


def decode_answer(encoded: EncodedReply, decode: Callable[[EncodedReply], ReplyT]) -> Answer[ReplyT]:
    """Return the typed answer. Raises RefusedError for a refusal, MalformedReplyError."""
    try:
        if ENCODED_REFUSAL in encoded:
            raise RefusedError(encoded[ENCODED_REFUSAL])
        return Answer(decode(encoded), encoded)
    except MALFORMED as problem:
        raise MalformedReplyError(problem) from None


class AgentClient:
    """The requests to one agent. Any thread may call it: each request has a connection of its own.

    Each method raises UnreachableError, RefusedError for a refusal, or MalformedReplyError.
    """

    def __init__(self, path: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """`path`: the agent's socket; `timeout_s`: for each step of an exchange with it."""
        self.path = path
        self.timeout_s = timeout_s

    def status(self) -> Answer[StatusReply]:
        """Ask for all instances and rollouts."""
        return self._ask(StatusRequest(), decode_status)

    def submit(self, rollout: RolloutRequest) -> Answer[RolloutStatus]:
        """Begin a rollout."""
        return self._ask(submit_request(rollout), decode_rollout)

    def plan(self, rollout: RolloutRequest) -> Answer[PlanReply]:
        """Ask what `submit` would begin."""
        return self._ask(submit_request(rollout, dry_run=True), decode_plan)

    def control(self, request: ControlRequest) -> Answer[RolloutStatus]:
        """Pause, resume or abort a rollout."""
        return self._ask(request, decode_rollout)

    def find(self, rollout_id: str) -> Answer[RolloutStatus]:
        """Ask for one rollout."""
        return self._ask(FindRequest(rollout_id), decode_rollout)

    def history(self) -> Answer[HistoryReply]:
        """Ask for the newest records of the agent's store."""
        return self._ask(HistoryRequest(), decode_history)

    def explain(self, instance: str) -> Answer[ExplainReply]:
        """Ask why an instance is in its state."""
        return self._ask(ExplainRequest(instance), decode_explanation)

    def _ask(self, request: AgentRequest, decode: Callable[[EncodedReply], ReplyT]) -> Answer[ReplyT]:
        return decode_answer(ask(self.path, encode(request), self.timeout_s), decode)


def ask_all(
    paths: list[str], request: AgentRequest, timeout_s: float = DEFAULT_TIMEOUT_S
) -> dict[str, EncodedReply | UnreachableError]:
    """Return the encoded reply of each agent by its path, or why it has none.

    All are asked at once, so none holds up another.
    """
    encoded_request = encode(request)

    def ask_one(path: str) -> EncodedReply | UnreachableError:
        try:
            return ask(path, encoded_request, timeout_s)
        except UnreachableError as problem:
            return problem

    with ThreadPoolExecutor(len(paths)) as pool:
        return dict(zip(paths, pool.map(ask_one, paths), strict=True))
