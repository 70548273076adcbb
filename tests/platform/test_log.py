"""Log writes never block the event loop."""

from __future__ import annotations

import logging
import os
import threading

import orjson

from wisterialoom.log import json_formatter, log_stream
from wisterialoom.platform.log import RateLimitedHandler


def test_full_pipe_drops_lines_and_does_not_block():
    """An instance stood still once nobody read the pipe that its logs go to."""
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream:
        handler = RateLimitedHandler(log_stream(stream))
        handler.setFormatter(json_formatter("front-1"))

        def write(count: int, text: str) -> None:
            for _ in range(count):
                record = logging.LogRecord("x", logging.ERROR, "", 0, text, None, None)
                handler.emit(record)

        thread = threading.Thread(target=write, args=(500, "x" * 900), daemon=True)
        thread.start()
        thread.join(5.0)
        assert not thread.is_alive(), "a log write blocked"
        dropped = handler.unwritten_count
        assert 400 < dropped < 500
        # Lines longer than the pipe are cut, and the next one begins a new line.
        pieces = [os.read(read_end, 1 << 20)]
        write(1, "y" * 200_000)
        write(1, "dropped")
        pieces.append(os.read(read_end, 1 << 20))
        write(1, "last")
        pieces.append(os.read(read_end, 1 << 20))
        lines = b"".join(pieces).splitlines()
        assert len(lines) == 500 - dropped + 2
        assert all(orjson.loads(line) for line in lines[:-2])
        last = orjson.loads(lines[-1])
        assert (last["message"], last["left_out"]) == ("last", dropped + 2)
        # Without a reader, each line is dropped.
        os.close(read_end)
        write(1, "nobody reads this")
        assert handler.unwritten_count == dropped + 3


def test_files_are_written_as_before(tmp_path):
    with (tmp_path / "log").open("w") as stream:
        assert log_stream(stream) is stream
