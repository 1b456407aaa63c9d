"""Client of the model engines: streams, KV cache transfers and load reports."""

from tarragonway.engines.adapter import (
    EngineBroken,
    EngineClient,
    EngineFinished,
    EngineRefused,
    EngineToken,
    StreamCall,
)

__all__ = [
    "EngineBroken",
    "EngineClient",
    "EngineFinished",
    "EngineRefused",
    "EngineToken",
    "StreamCall",
]
