"""Log lines and metrics of a host's view of the store: its source, age and role."""

import math
import time

from attrs import define

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core import Metrics
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.hosts.watchers import ROLES, WatcherRoles


@define(eq=False)
class ViewReport:
    """Reports changes of the source of the view, its staleness and the host's role."""

    catalog: Catalog
    roles: WatcherRoles
    metrics: Metrics
    role: str = ""
    source: str = ""
    is_stale: bool = False

    def tick(self) -> None:
        """Log what has changed and update the metrics."""
        now_s = time.monotonic()
        age_s = self.catalog.age_s()
        self.update_role(self.roles.role(now_s), now_s)
        self.update_source(self.catalog.view_source(), age_s)
        self.update_staleness(age_s)
        self.metrics.set("view_age_seconds", age_s if math.isfinite(age_s) else -1.0)
        self.metrics.set("view_reads_store", int(self.catalog.follows_store()))

    def update_role(self, role: str, now_s: float) -> None:
        """Log and count a change of this host's role."""
        if role != self.role:
            watchers = [state.host for state in self.roles.watchers(now_s)]
            log_event(
                "store role changed", role=role, before=self.role, others=watchers
            )
            self.role = role
            for name in ROLES:
                self.metrics.set("store_role", int(name == role), role=name)

    def update_source(self, source: str, age_s: float) -> None:
        """Log a change of the host that this one reads from."""
        if source != self.source:
            log_event(
                "view source changed",
                source=source,
                before=self.source,
                view_age_s=round(age_s, 3),
            )
            self.source = source

    def update_staleness(self, age_s: float) -> None:
        """Log when the view becomes stale and when it is current again."""
        is_stale = age_s > self.catalog.timing.max_age_s
        if is_stale != self.is_stale:
            message = "view stale" if is_stale else "view current again"
            log_event(message, source=self.source, view_age_s=round(age_s, 3))
            self.is_stale = is_stale
