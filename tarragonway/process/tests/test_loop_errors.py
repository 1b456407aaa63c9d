from types import SimpleNamespace

from structlog.testing import capture_logs

from tarragonway.process.loop_errors import (
    MAX_KNOWN_ERRORS,
    REPEAT_INTERVAL_S,
    LoopErrorLog,
)


def report(errors, now, message, error=None):
    loop = SimpleNamespace(time=lambda: now)
    with capture_logs() as lines:
        errors.handle(loop, {"message": message, "exception": error})
    return lines


# Guards against a log that is flooded by one error, or that hides others behind it.
def test_equal_errors_are_logged_once_in_an_interval():
    errors = LoopErrorLog()
    assert report(errors, 0.0, "accept", OSError(24, "full"))
    for _ in range(1000):
        assert not report(errors, 1.0, "accept", OSError(24, "full"))
    (other,) = report(errors, 1.0, "accept", OSError(23, "full"))
    assert (other["message"], other["repeats"]) == ("accept", 0)
    (again,) = report(errors, REPEAT_INTERVAL_S, "accept", OSError(24, "full"))
    assert again["repeats"] == 1000


def test_number_of_known_errors_is_bounded():
    errors = LoopErrorLog()
    for number in range(3 * MAX_KNOWN_ERRORS):
        assert report(errors, 0.0, f"error {number}")
    assert len(errors._logged_at) <= MAX_KNOWN_ERRORS
