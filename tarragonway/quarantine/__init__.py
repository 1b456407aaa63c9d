"""Quarantine of requests that crash the endpoints that run them."""

from tarragonway.quarantine.book import (
    CRASH_LIMIT_ENDPOINTS,
    CrashRecorded,
    QuarantineBook,
    ReportCrash,
)

__all__ = ["CRASH_LIMIT_ENDPOINTS", "CrashRecorded", "QuarantineBook", "ReportCrash"]
