"""Watch: polls and pushed changes that keep the views of entry processes current."""

from tarragonway.watch.messages import WatchPoll, WatchPush, WatchReply

__all__ = ["WatchPoll", "WatchPush", "WatchReply"]
