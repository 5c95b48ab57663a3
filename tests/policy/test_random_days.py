"""What must hold of the decision module whatever comes."""

import pytest
from random_day import RandomDay


@pytest.mark.parametrize(("endpoint_count", "gateway_count"), [(3, 1), (8, 4), (60, 1), (80, 200), (500, 30)])
def test_each_request_is_answered_once_and_nothing_goes_to_withdrawn_endpoints(
    endpoint_count: int, gateway_count: int
) -> None:
    """Whatever comes, each request is answered once, and endpoints that were withdrawn are sent nothing."""
    for seed in range(2):
        day = RandomDay(seed, endpoint_count, gateway_count)
        day.play(8)
        assert not day.attempts_at_withdrawn
        assert max(day.final_answers.values(), default=0) <= 1
        assert set(range(240)) == day.answered | set(day.final_answers)
