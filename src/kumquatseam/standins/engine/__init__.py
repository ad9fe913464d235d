"""A stand-in for a model engine, for tests, the demo and the bench.

Run one with ``kumquatseam standin engine --name N --port P --events-port E``.
"""

from kumquatseam.standins.engine._cache import BlockCache, CacheChange
from kumquatseam.standins.engine._engine import StandinEngine
from kumquatseam.standins.engine._settings import EngineStandinSettings

__all__ = ["BlockCache", "CacheChange", "EngineStandinSettings", "StandinEngine"]
