"""The model engines' interface: streams, KV cache moves, load reports."""

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
