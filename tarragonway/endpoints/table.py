"""Replicated table of endpoints."""

import msgspec

from tarragonway.core.ids import EndpointId
from tarragonway.endpoints.model import (
    Endpoint,
    EndpointsChanged,
    EndpointState,
    MarkLeaving,
    ObserveEndpoints,
)

# Shortest time for which the mark of a removed endpoint is retained.
MARK_RETENTION_MS = 86_400_000


class EndpointTable(msgspec.Struct):
    """Endpoints on record, and the time at which each was marked as leaving.

    A mark is retained after the endpoint's row is removed, so that a stale list in
    which the endpoint is still active can't make it active again.

    Examples
    --------
    >>> table = EndpointTable()
    >>> one = Endpoint("e1", "s", "a", "http://127.0.0.1:1")
    >>> table.observe(ObserveEndpoints((one,)), 0).changed
    ('e1',)
    >>> table.mark(MarkLeaving(("e1",), "notice"), 0).changed
    ('e1',)
    >>> table.observe(ObserveEndpoints((one,)), 0).changed
    ()
    >>> table.rows["e1"].state
    <EndpointState.LEAVING: 'leaving'>
    """

    rows: dict[EndpointId, Endpoint] = {}
    marks: dict[EndpointId, int] = {}

    def observe(self, command: ObserveEndpoints, now_ms: int) -> EndpointsChanged:
        """Apply changes of the platform's list."""
        self._prune(now_ms)
        changed = []
        for endpoint in command.seen:
            if self._store_row(endpoint, now_ms):
                changed.append(endpoint.id)
        for endpoint_id in command.gone:
            if self.rows.pop(endpoint_id, None) is not None:
                changed.append(endpoint_id)
        return EndpointsChanged(tuple(changed))

    def mark(self, command: MarkLeaving, now_ms: int) -> EndpointsChanged:
        """Mark endpoints as leaving; ids without a row are marked too."""
        changed = []
        for endpoint_id in command.endpoints:
            if endpoint_id in self.marks:
                continue
            self.marks[endpoint_id] = now_ms
            row = self.rows.get(endpoint_id)
            if row is not None:
                self.rows[endpoint_id] = _make_leaving(row)
                changed.append(endpoint_id)
        return EndpointsChanged(tuple(changed))

    def _store_row(self, endpoint: Endpoint, now_ms: int) -> bool:
        if endpoint.state is EndpointState.LEAVING:
            self.marks.setdefault(endpoint.id, now_ms)
        if endpoint.id in self.marks:
            endpoint = _make_leaving(endpoint)
        if self.rows.get(endpoint.id) == endpoint:
            return False
        self.rows[endpoint.id] = endpoint
        return True

    def _prune(self, now_ms: int) -> None:
        for endpoint_id, marked_ms in list(self.marks.items()):
            if now_ms < marked_ms + MARK_RETENTION_MS:
                break
            if endpoint_id not in self.rows:
                del self.marks[endpoint_id]


def _make_leaving(endpoint: Endpoint) -> Endpoint:
    return msgspec.structs.replace(endpoint, state=EndpointState.LEAVING)
