import logging

from structlog.testing import capture_logs

from tarragonway.core.logs import LibraryLogHandler


# Guards against a library's log line that blocks the process on standard error.
def test_lines_of_libraries_go_to_the_structured_log():
    logger = logging.Logger("library")
    logger.addHandler(LibraryLogHandler())
    with capture_logs() as lines:
        try:
            raise ValueError("odd")
        except ValueError:
            logger.exception("request %d failed", 7)
    (line,) = lines
    assert (line["logger"], line["message"]) == ("library", "request 7 failed")
    assert line["log_level"] == "error"
    assert isinstance(line["exc_info"][1], ValueError)
