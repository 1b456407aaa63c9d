"""Client of the model engines: streams, KV cache transfers and load reports."""

from tarragonway.engines.client import (
    EngineClient,
    EngineFinished,
    EngineInterrupted,
    EngineRefused,
    EngineToken,
    StreamCall,
)

__all__ = [
    "EngineClient",
    "EngineFinished",
    "EngineInterrupted",
    "EngineRefused",
    "EngineToken",
    "StreamCall",
]
