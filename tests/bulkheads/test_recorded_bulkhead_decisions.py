"""Checks that the controller with bulkheads acts as it did before bulkheads were split by resource.

The digests were recorded then, in the simulations of `tests/admission/test_recorded_decisions.py`. A commit
that changes decisions on purpose records new digests and says so.
"""

import pytest
from admission.test_recorded_decisions import digest_of_a_history

from vetchford.bulkheads import builder
from vetchford.bulkheads.bulkheads import BulkheadSet
from vetchford.bulkheads.settings import BulkheadSettings

RECORDED = {
    (0, False): "d0ed314278aef4b416568336",
    (0, True): "0a1878d601fae7d8a2c41717",
    (1, False): "fdfea6560a276a58eb81a8bf",
    (1, True): "4e0289c0d2e0bb2c345d8f11",
    (2, False): "baae37d177ef3fa88ffaf2ac",
    (2, True): "b277a43a8b6f5f87bb57ae4c",
    (3, False): "2b234337ac8fdc702c88cd2e",
    (3, True): "8cf276a952391b488ad657e3",
    (4, False): "aa760a46f7bffa6e26ed3269",
    (4, True): "265cce90890708ce6ba038f1",
    (5, False): "73fd45ac089fdcdae88a1754",
    (5, True): "0cd8fa21f619f7b414b2e7b4",
}


class IgnoringObserver:
    def __getattr__(self, name):
        return lambda *arguments: None


def make_bulkheads(seed):
    """Return derived bulkheads, or three that differ in reserve, lending and borrowing."""
    observer = IgnoringObserver()
    if seed % 3 == 2:
        return builder.build_derived(observer, [0, 1, 2], [1.0, 3.0, 2.0])
    settings = [
        BulkheadSettings("a", 0.2, 0.3, 0.2, reserve=seed % 2, lends=seed % 4 != 1),
        BulkheadSettings("b", 0.3, 0.3, 0.3, max_calls=6, call_budget_ms=300.0),
        BulkheadSettings("c", 0.5, 0.4, 0.5, borrows=seed % 5 != 3),
    ]
    return BulkheadSet(observer, settings, [0, 1, 2])


@pytest.mark.parametrize(("seed", "crowded"), RECORDED)
def test_with_bulkheads_every_action_is_as_recorded(seed, crowded):
    assert digest_of_a_history(seed, crowded, make_bulkheads(seed)) == RECORDED[seed, crowded]
