"""Session events that more than one module counts."""

from vetchford.transport.faults import Refusal, SequenceFault
from vetchford.transport.session_actions import SessionActions
from vetchford.transport.timing import MAX_LOGGED_NAME


def count_refused(actions: SessionActions, refusal: Refusal, sender: str) -> None:
    """Count a refused frame; `sender` is the name in the frame."""
    actions.count_event("peer_refused", why=refusal.log_term, peer=sender[:MAX_LOGGED_NAME])


def count_out_of_sequence(actions: SessionActions, fault: SequenceFault, sender: str) -> None:
    """Count a frame of a listed peer whose sequence number is not the next one."""
    actions.count_event("peer_out_of_sequence", why=fault.log_term, peer=sender)
