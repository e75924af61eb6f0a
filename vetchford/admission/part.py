"""The base of the controller's parts: what they share. No decisions."""

from dataclasses import dataclass

from vetchford.admission.actions import AdmissionActions
from vetchford.admission.capacity import Capacity
from vetchford.admission.health import Health
from vetchford.admission.load_advice import LoadAdvice
from vetchford.admission.workload import Workload


@dataclass(eq=False)
class AdmissionPart:
    """Holds the parts that all decisions of one server refer to."""

    actions: AdmissionActions
    workload: Workload
    capacity: Capacity
    advice: LoadAdvice
    health: Health

    def __post_init__(self) -> None:
        """For what a part keeps itself."""

    @property
    def shared(self) -> tuple[AdmissionActions, Workload, Capacity, LoadAdvice, Health]:
        """The arguments of another part's constructor."""
        return self.actions, self.workload, self.capacity, self.advice, self.health
