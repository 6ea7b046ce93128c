"""Assembles the platform adapter of a routing host."""

from rosemaryyoke.exchanges.host import PlatformAdapter
from rosemaryyoke.exchanges.settings import RoutingSettings
from rosemaryyoke.platform.directory import PlatformDirectory
from rosemaryyoke.platform.documents import PlatformSource
from rosemaryyoke.platform.headers import PlatformDialect
from rosemaryyoke.platform.store import PlatformStore
from rosemaryyoke.platform.upstream_calls import PlatformEngines


def make_adapter(settings: RoutingSettings) -> PlatformAdapter:
    """Return the adapter for the platform given in the settings."""
    store = PlatformStore(settings.store)
    return PlatformAdapter(
        store,
        PlatformSource(store),
        PlatformDialect(),
        PlatformDirectory(),
        PlatformEngines(),
        store.eras,
    )
