"""A short run of the silence experiment of the benchmarks, with a fixed seed."""

from bench import silence


# Guards against streams that are broken off, or continued with a gap, when their engines are silent
# for a second while the configuration changes. The deadline is far away, so that only the nodes can
# end a stream early.
def test_no_stream_is_lost_or_out_of_order_when_engines_fall_silent(tmp_path):
    figures = silence.run_picture("silences-changes", 1, 4.0, tmp_path, deadline_s=60.0)
    assert figures["lost"] == 0, f"logs are in {tmp_path}"
    assert figures["order"] == []
    # Any other failure is a stream that the nodes ended before its first event.
    assert set(figures["failures"]) <= {"429", "503"}, figures
    assert figures["served"] > 0, figures
