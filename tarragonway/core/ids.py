"""Identifier types that all packages share."""

from typing import NewType

AccountId = NewType("AccountId", str)
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
CallKey = NewType("CallKey", str)
ClusterId = NewType("ClusterId", str)
EndpointId = NewType("EndpointId", str)
OwnerEpoch = NewType("OwnerEpoch", int)
Fingerprint = NewType("Fingerprint", str)
Incarnation = NewType("Incarnation", str)
LogIndex = NewType("LogIndex", int)
MemberId = NewType("MemberId", str)
PartId = NewType("PartId", str)
PlanName = NewType("PlanName", str)
ProcessName = NewType("ProcessName", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceName = NewType("ServiceName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
Term = NewType("Term", int)
ZoneName = NewType("ZoneName", str)
