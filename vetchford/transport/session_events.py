"""Events of sessions that are counted in more than one place, each made here."""

from vetchford.transport.faults import Refusal, SequenceFault
from vetchford.transport.session_actions import SessionActions
from vetchford.transport.timing import MAX_LOGGED_NAME


def count_refused(actions: SessionActions, refusal: Refusal, sender: str) -> None:
    """Counts a frame of somebody who is not heard; `sender` is what it claims to be."""
    actions.count_event("peer_refused", why=refusal.log_term, peer=sender[:MAX_LOGGED_NAME])


def count_out_of_sequence(actions: SessionActions, fault: SequenceFault, sender: str) -> None:
    """Counts a frame of a listed peer that is not the next one."""
    actions.count_event("peer_out_of_sequence", why=fault.log_term, peer=sender)
