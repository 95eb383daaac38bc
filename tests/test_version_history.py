"""Times of published versions that control VMs tell to nodes.

Guards against nodes that start later and do not learn of a version that is required before the
newest one is, and against lists that grow with each publication.
"""

from merlinthread.coordination import version_history


def make_history(*publications: tuple[int, float]) -> version_history.VersionHistory:
    history = version_history.VersionHistory(10.0)
    for version, at in publications:
        history.record("m", version, at)
    return history


def test_versions_that_are_not_required_yet_are_told_with_their_ages():
    history = make_history((2, 100.0), (3, 102.0))
    assert history.ages("m", 3, 105.0) == [(2, 5.0), (3, 3.0)]
    assert history.ages("other", 1, 105.0) == [(1, 0.0)]


def test_versions_before_the_newest_required_one_are_dropped():
    history = make_history(*((version, 100.0 + version) for version in range(50)))
    assert history.ages("m", 49, 200.0) == [(49, 51.0)]
    assert list(history.published_at["m"]) == [49]


def test_version_that_seems_to_be_published_later_than_its_successor_is_dropped():
    assert make_history((2, 109.0), (3, 102.0)).ages("m", 3, 110.0) == [(3, 8.0)]


def test_restored_version_is_as_old_as_the_newest_known_one():
    history = make_history((2, 100.0))
    history.restore("m", 3, -1e6)
    history.restore("other", 1, -1e6)
    assert history.ages("m", 3, 105.0) == [(3, 5.0)]
    assert history.ages("other", 1, 0.0) == [(1, 1e6)]


def test_repeated_publication_does_not_make_a_version_younger():
    history = make_history((2, 100.0), (3, 102.0))
    history.record("m", 3, 107.0)
    assert history.ages("m", 3, 108.0) == [(2, 8.0), (3, 6.0)]
    history.record("m", 2, 107.0)
    assert history.ages("m", 3, 108.0) == [(2, 8.0), (3, 6.0)]


def test_earlier_version_that_is_published_again_is_not_told():
    history = make_history((3, 102.0))
    history.record("m", 2, 107.0)
    assert history.ages("m", 3, 108.0) == [(3, 6.0)]
