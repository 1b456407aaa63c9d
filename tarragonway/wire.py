"""Union of all messages that processes send to each other."""

from tarragonway.consensus import Packet
from tarragonway.control.messages import (
    ControlCall,
    ControlRedirect,
    ControlReply,
    JoinRequest,
    ReadIndexCall,
    ReadIndexReply,
)
from tarragonway.limits.messages import ShareCall, ShareReply
from tarragonway.requests.messages import (
    CopyAck,
    CopyProgress,
    CopyRecord,
    CopyStale,
    Heartbeat,
)
from tarragonway.watch.messages import WatchPoll, WatchPush, WatchReply

WireMessage = (
    Packet
    | ControlCall
    | ControlReply
    | ControlRedirect
    | JoinRequest
    | ReadIndexCall
    | ReadIndexReply
    | WatchPoll
    | WatchReply
    | WatchPush
    | ShareCall
    | ShareReply
    | CopyRecord
    | CopyProgress
    | CopyAck
    | CopyStale
    | Heartbeat
)
