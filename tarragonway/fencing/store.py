"""Replicated store of order leases."""

import msgspec

from tarragonway.core.ids import EndpointId, MemberId


class TakeOrderLease(msgspec.Struct, frozen=True, tag=True):
    """Request for the right to send orders to an endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        Endpoint that is to receive orders.
    holder : MemberId
        Incarnation of the control process that requests the lease.
    lease_ms : int
        How long the holder may send orders, in milliseconds. The holder counts this
        time from before its request.
    order_limit_ms : int
        How long an order that was sent may still take effect, in milliseconds.
    """

    endpoint: EndpointId
    holder: MemberId
    lease_ms: int
    order_limit_ms: int


class OrderLeaseGranted(msgspec.Struct, frozen=True, tag=True):
    """Grant of a lease; ``fence`` is a fencing token higher than all earlier ones."""

    fence: int


class OrderLeaseBusy(msgspec.Struct, frozen=True, tag=True):
    """Refusal: orders of another process may still take effect for ``wait_ms``."""

    holder: MemberId
    wait_ms: int


class _Lease(msgspec.Struct, frozen=True):
    holder: MemberId
    fence: int
    end_ms: int


class OrderLeaseStore(msgspec.Struct):
    """Leases by endpoint, and the last fencing token that was granted.

    Examples
    --------
    >>> store = OrderLeaseStore()
    >>> store.take(TakeOrderLease("e1", "c1.a", 1000, 500), 0)
    OrderLeaseGranted(fence=1)
    >>> store.take(TakeOrderLease("e1", "c2.b", 1000, 500), 1200)
    OrderLeaseBusy(holder='c1.a', wait_ms=300)
    >>> store.take(TakeOrderLease("e1", "c2.b", 1000, 500), 1500)
    OrderLeaseGranted(fence=2)
    """

    last_fence: int = 0
    leases: dict[EndpointId, _Lease] = {}

    def take(
        self, command: TakeOrderLease, now_ms: int
    ) -> OrderLeaseGranted | OrderLeaseBusy:
        """Grant or renew a lease once all orders of an earlier holder have ended."""
        lease = self.leases.get(command.endpoint)
        if lease is not None and lease.holder != command.holder:
            wait_ms = lease.end_ms - now_ms
            if wait_ms > 0:
                return OrderLeaseBusy(lease.holder, wait_ms)
        self.last_fence += 1
        end_ms = now_ms + command.lease_ms + command.order_limit_ms
        self.leases[command.endpoint] = _Lease(command.holder, self.last_fence, end_ms)
        return OrderLeaseGranted(self.last_fence)
