from rosemaryyoke.upstreams.directory import polls_per_period


def test_small_fleet_is_polled_each_second():
    assert [polls_per_period(count) for count in (0, 1, 9, 16)] == [0, 1, 5, 8]


def test_large_fleet_is_polled_one_at_a_time():
    assert polls_per_period(600) == 1
