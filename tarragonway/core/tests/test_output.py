import os

from tarragonway.core.output import BoundedOutput


def test_lines_over_the_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    now = [0.0]
    output = BoundedOutput(writer, 2, lambda: now[0])
    for number in range(5):
        output.write(f"{number}\n")
    now[0] = 1.0
    output.write("later\n")
    lines = os.read(reader, 4096).decode().splitlines()
    assert lines == ["0", "1", '{"event": "lines dropped", "count": 3}', "later"]


def test_stalled_reader_does_not_block_the_writer():
    reader, writer = os.pipe()
    output = BoundedOutput(writer, 10**6)
    for _ in range(3000):
        output.write("x" * 99 + "\n")
    assert output.dropped
    while len(os.read(reader, 65536)) == 65536:
        pass
    output.write("last\n")
    text = os.read(reader, 65536).decode()
    assert "lines dropped" in text
    assert text.endswith("last\n")
