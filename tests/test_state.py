"""Persistent files: incomplete writes, corruption, full disks, compaction and chunk storage."""

import errno
import os
import pathlib
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from merlinthread import errors
from merlinthread.state import chunks, folder, journal, manifests, records


def entry(index: int, term: int = 1) -> journal.Entry:
    return journal.Entry(index, term, "command", f"data {index}".encode())


def write_journal(path: pathlib.Path, count: int = 5) -> pathlib.Path:
    found = journal.Journal(path)
    found.save(journal.HardState(1, "c0"), [entry(1)])
    for index in range(2, count + 1):
        found.save(None, [entry(index)])
    found.close()
    return found.log_path(0)


@given(cut=st.integers(1, 60))
def test_a_torn_tail_is_cut_off_and_the_rest_is_kept(tmp_path_factory, cut):
    path = tmp_path_factory.mktemp("journal")
    file = write_journal(path)
    data = file.read_bytes()
    file.write_bytes(data[:-cut])
    found = journal.Journal(path)
    kept = len(found.entries)
    assert [e.index for e in found.entries] == list(range(1, kept + 1))
    assert kept < 5
    found.save(None, [entry(kept + 1)])
    found.close()
    assert len(journal.Journal(path).entries) == kept + 1


def test_commit_index_survives_a_restart_and_a_compaction(tmp_path):
    found = journal.Journal(tmp_path)
    found.save(journal.HardState(1, "c0"), [entry(1)])
    found.save(None, [entry(2), entry(3)], commit=1)
    found.save(None, [entry(4)])
    found.close()
    found = journal.Journal(tmp_path)
    assert found.commit == 1
    found.compact(journal.Snapshot(2, 1, b"", b"s"), found.entries[2:])
    found.close()
    assert journal.Journal(tmp_path).commit == 2


@given(seed=st.integers(0, 10_000))
def test_a_flipped_bit_before_the_last_record_is_refused_with_file_and_offset(
    tmp_path_factory, seed
):
    path = tmp_path_factory.mktemp("journal")
    file = write_journal(path)
    data = bytearray(file.read_bytes())
    last = data.rfind(records.MAGIC)
    rng = random.Random(seed)
    data[rng.randrange(last)] ^= 1 << rng.randrange(8)
    file.write_bytes(data)
    with pytest.raises(errors.LogDamagedError) as caught:
        journal.Journal(path)
    assert str(file) in caught.value.message
    assert "byte" in caught.value.message


@given(seed=st.integers(0, 10_000))
def test_a_torn_last_write_is_left_out_and_nothing_before_it_is_lost(tmp_path_factory, seed):
    # An unsynced write may be corrupted in any way; it was never acknowledged.
    path = tmp_path_factory.mktemp("journal")
    file = write_journal(path)
    data = bytearray(file.read_bytes())
    last = data.rfind(records.MAGIC)
    rng = random.Random(seed)
    start = rng.randrange(last, len(data))
    data[start : rng.randrange(start, len(data)) + 1] = rng.randbytes(rng.randrange(1, 30))
    data[last + 4] ^= 1
    file.write_bytes(data)
    assert [e.index for e in journal.Journal(path).entries] == [1, 2, 3, 4]


def test_zeros_after_the_last_record_are_ignored(tmp_path):
    file = write_journal(tmp_path)
    with open(file, "ab") as handle:
        handle.write(bytes(100))
    assert len(journal.Journal(tmp_path).entries) == 5


def test_partial_write_is_rolled_back_on_a_full_disk(tmp_path, monkeypatch):
    found = journal.Journal(tmp_path)
    found.save(None, [entry(1)])
    original_pwrite = os.pwrite
    space_left = [10]

    def pwrite(handle: int, data: bytes, offset: int) -> int:
        if space_left[0] <= 0:
            raise OSError(errno.ENOSPC, "no space")
        written = original_pwrite(handle, data[: space_left[0]], offset)
        space_left[0] -= written
        return written

    monkeypatch.setattr(os, "pwrite", pwrite)
    with pytest.raises(errors.DiskFullError, match="no space left"):
        found.save(None, [entry(2)])
    monkeypatch.undo()
    found.save(None, [entry(2)])
    found.close()
    assert [e.index for e in journal.Journal(tmp_path).entries] == [1, 2]


def test_data_folder_in_use_is_refused(tmp_path):
    locked = folder.DataFolder(tmp_path)
    with pytest.raises(errors.FolderInUseError, match=str(tmp_path)):
        folder.DataFolder(tmp_path)
    locked.release()
    folder.DataFolder(tmp_path).release()


def test_compaction_bounds_the_folder_and_keeps_the_state(tmp_path):
    found = journal.Journal(tmp_path)
    for start in range(0, 3000, 100):
        found.save(None, [entry(i) for i in range(start + 1, start + 101)])
        found.compact(journal.Snapshot(start + 90, 1, b"", b"s" * 100), found.entries[-10:])
    assert found.size_bytes() < 4000
    assert len(list(tmp_path.glob("*.bin"))) == 2
    identity = found.identity
    found.close()
    reopened = journal.Journal(tmp_path)
    assert reopened.snapshot.index == 2990
    assert [e.index for e in reopened.entries] == list(range(2991, 3001))
    assert reopened.identity == identity


def test_a_crash_between_the_two_files_of_a_compaction_loses_nothing(tmp_path):
    found = journal.Journal(tmp_path)
    found.save(None, [entry(i) for i in range(1, 6)])
    image = journal.SnapshotFile(
        journal.Snapshot(3, 1, b"", b"s"), found.hard_state, found.entries[3:]
    )
    records.write_atomic(found.snapshot_path(1), journal.msgspec.msgpack.encode(image))
    found.close()
    reopened = journal.Journal(tmp_path)
    assert reopened.snapshot.index == 3
    assert [e.index for e in reopened.entries] == [4, 5]


def test_log_file_left_from_an_earlier_journal_is_not_read(tmp_path):
    before = tmp_path / "before"
    before.mkdir()
    left_over = write_journal(before)
    folder_path = tmp_path / "now"
    folder_path.mkdir()
    left_over.rename(folder_path / "log-00000001.bin")
    found = journal.Journal(folder_path)
    found.save(journal.HardState(7, "c0"), [entry(1, term=7)])
    found.compact(journal.Snapshot(1, 7, b"", b"s"), [])
    found.save(None, [entry(2, term=7)])
    found.close()
    reopened = journal.Journal(folder_path)
    assert [(e.index, e.term) for e in reopened.entries] == [(2, 7)]


def test_chunks_survive_a_restart_and_a_damaged_one_is_dropped(tmp_path):
    store = chunks.ChunkStore(tmp_path, 1000)
    digests = [chunks.digest_of(bytes([i]) * 100) for i in range(3)]
    for i, digest in enumerate(digests):
        store.add(digest, bytes([i]) * 100)
    (tmp_path / digests[1]).write_bytes(b"x" * 100)
    (tmp_path / "half.part").write_bytes(b"half")
    reopened = chunks.ChunkStore(tmp_path, 1000)
    assert [reopened.has(digest) for digest in digests] == [True, False, True]
    assert not (tmp_path / "half.part").exists()


@pytest.mark.parametrize("in_memory", [True, False])
def test_chunk_store_stays_within_its_bound_and_keeps_pinned_chunks(tmp_path, in_memory):
    store = chunks.ChunkStore(None if in_memory else tmp_path, 300)
    blobs = [bytes([i]) * 100 for i in range(5)]
    digests = [chunks.digest_of(blob) for blob in blobs]
    store.add(digests[0], blobs[0])
    store.pin([digests[0]])
    for digest, blob in zip(digests[1:], blobs[1:], strict=True):
        store.add(digest, blob)
        assert store.used_bytes <= 300
    assert store.has(digests[0]) and store.has(digests[4]) and not store.has(digests[1])
    store.pin(digests)
    with pytest.raises(errors.DiskFullError, match="store_bytes"):
        store.add(digests[1], blobs[1])


def test_chunk_with_a_wrong_digest_is_not_stored(tmp_path):
    store = chunks.ChunkStore(tmp_path, 1000)
    with pytest.raises(errors.WeightsError):
        store.add(chunks.digest_of(b"right"), b"wrong")
    assert list(tmp_path.iterdir()) == []


def test_manifest_with_a_wrong_digest_or_size_is_refused(tmp_path):
    path = tmp_path / "weights"
    path.write_bytes(random.Random(1).randbytes(1000))
    made = manifests.from_file(path, "hint-1", 300)
    assert [made.chunk_size(i) for i in range(4)] == [300, 300, 300, 100]
    data, digest = manifests.encode(made), manifests.digest_of(made)
    assert manifests.decode(data, digest) == made
    with pytest.raises(errors.WeightsError, match="digest"):
        manifests.decode(data.replace(b"hint-1", b"hint-2"), digest)
    short = manifests.Manifest("x", 1000, 300, made.chunks[:3])
    with pytest.raises(errors.WeightsError, match="needs 4"):
        manifests.decode(manifests.encode(short), manifests.digest_of(short))
