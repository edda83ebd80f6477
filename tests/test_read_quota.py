"""Tests of how the replies share what a turn of the loop reads."""

from chervilarch import read_quota

_CHUNK = 16 * 1024


def read_turn(quota, readers, turn):
    """Lets readers in order take chunks until they may not; returns sizes."""
    sizes = []
    for reader in readers:
        size = 0
        while quota.take(reader, _CHUNK, turn):
            size += _CHUNK
        sizes.append(size)
    return sizes


def test_a_turn_reads_a_bounded_part_of_each_reply():
    quota = read_quota.ReadQuota()
    readers = [read_quota.Reader() for _ in range(4)]
    for turn in range(1, 4):
        assert read_turn(quota, readers, turn) == [read_quota.READER_BYTES] * 4


def test_a_reply_with_little_data_is_read_in_the_turn_of_many_fast_ones():
    quota = read_quota.ReadQuota()
    fast = [read_quota.Reader() for _ in range(200)]
    sizes = read_turn(quota, fast, 1)
    assert sum(sizes) <= read_quota.TURN_BYTES + 200 * _CHUNK
    assert min(sizes) == _CHUNK
    assert quota.take(read_quota.Reader(), _CHUNK, 1)


def test_a_chunk_over_the_quota_is_read_alone():
    quota = read_quota.ReadQuota()
    reader = read_quota.Reader()
    size = 2 * read_quota.TURN_BYTES
    assert quota.take(reader, size, 1) and not quota.take(reader, size, 1)
    assert quota.take(reader, size, 2)
