"""Order leases with fencing tokens: one process at a time orders an endpoint."""

from tarragonway.fencing.store import (
    OrderLeaseBusy,
    OrderLeaseGranted,
    OrderLeaseStore,
    TakeOrderLease,
)

__all__ = ["OrderLeaseBusy", "OrderLeaseGranted", "OrderLeaseStore", "TakeOrderLease"]
