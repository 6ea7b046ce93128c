"""The platform's parts, put together for a routing host."""

from rosemaryyoke.exchanges.host import PlatformAdapter
from rosemaryyoke.exchanges.settings import RoutingSettings
from rosemaryyoke.platform.documents import PlatformSource
from rosemaryyoke.platform.entry import PlatformDirectory
from rosemaryyoke.platform.headers import PlatformDialect
from rosemaryyoke.platform.store import PlatformStore
from rosemaryyoke.platform.upstream_calls import PlatformEngines


def make_adapter(settings: RoutingSettings) -> PlatformAdapter:
    """Return the adapter of the platform that the settings name."""
    store = PlatformStore(settings.store)
    return PlatformAdapter(
        store,
        PlatformSource(store),
        PlatformDialect(),
        PlatformDirectory(),
        PlatformEngines(),
    )
