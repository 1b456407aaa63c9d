"""The stream of changes that keeps entry processes at the revision in force."""

from tarragonway.watch.messages import WatchPoll, WatchPush, WatchReply

__all__ = ["WatchPoll", "WatchPush", "WatchReply"]
