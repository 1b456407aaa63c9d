from tarragonway.versions import OriginRecords, StreamOrigin

OLD, NEW = StreamOrigin("s", "v1"), StreamOrigin("s", "v2")


# Guards against a flood of streams that removes the records of others.
def test_flood_does_not_remove_records():
    records = OriginRecords(max_records=100)
    assert records.add(-1, OLD, 30.0, now=0.0)
    accepted = [records.add(key, NEW, 30.0, now=1.0) for key in range(1000)]
    assert sum(accepted) == 99
    assert records.find(-1, now=29.0) == (OLD,)
    assert len(records) == 100


def test_expired_records_make_room():
    records = OriginRecords(max_records=1)
    assert records.add(1, OLD, 5.0, now=0.0)
    assert not records.add(2, OLD, 5.0, now=1.0)
    assert records.add(2, NEW, 5.0, now=11.0)
    assert records.find(1, now=11.0) == ()


# Guards against a stream that goes on by one of two records that contradict each other.
def test_contradictory_records_are_all_returned():
    records = OriginRecords()
    for origin in (OLD, NEW, OLD):
        records.add(1, origin, 15.0, now=0.0)
    assert set(records.find(1, now=1.0)) == {OLD, NEW}


# Guards against a record that ends before its stream, however it is passed on.
def test_record_that_is_sent_again_lasts_as_long_as_the_first():
    first, second = OriginRecords(), OriginRecords()
    first.add(1, OLD, 15.0, now=3.0)
    for key, origin, lifetime_s in first.list_live(now=10.0):
        second.add(key, origin, lifetime_s, now=110.0)
    assert second.find(1, now=117.9) == (OLD,)


def test_lifetime_is_bounded():
    records = OriginRecords()
    records.add(1, OLD, 1e12, now=0.0)
    assert records.find(1, now=700.0) == ()
