"""Crowds by the size of the fleet, in virtual time; guards against boxes that go out in turn."""

import pytest

from croftchute.bench.crowd_sizes import IntakeWay, Scope, SizeSpec, play

TARGET_SHARE = 0.75


@pytest.mark.parametrize(
    "boxes, per_s, scope",
    [(8, 16.0, Scope.REGION), (60, 2.0, Scope.REGION), (200, 1.0, Scope.REGION)],
)
def test_boxes_serve_what_they_read_at_any_size(boxes, per_s, scope):
    """Guards against a crowd that takes one box after another out, and is served by none."""
    paced = play(SizeSpec(boxes=boxes, per_s=per_s, scope=scope))
    assert paced.late >= TARGET_SHARE * paced.before
    assert paced.unserved <= 0.05 and paced.most_out <= boxes / 4
    read_all = play(SizeSpec(boxes=boxes, per_s=per_s, scope=scope, way=IntakeWay.READ_ALL))
    assert read_all.late < TARGET_SHARE * read_all.before
