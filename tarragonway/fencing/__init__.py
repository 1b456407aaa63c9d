"""Leases with fencing tokens: one process at a time sends orders to an endpoint."""

from tarragonway.fencing.store import (
    OrderLeaseBusy,
    OrderLeaseGranted,
    OrderLeaseStore,
    TakeOrderLease,
)

__all__ = ["OrderLeaseBusy", "OrderLeaseGranted", "OrderLeaseStore", "TakeOrderLease"]
