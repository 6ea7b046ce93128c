"""Data model of a host's settings."""

import re

from attrs import field, frozen

DEFAULT_MAX_CONNECTIONS = 640
DEFAULT_ANSWER_LIFETIME_S = 5.0
DEFAULT_STOP_GRACE_S = 600.0
MIN_SHARED_KEY_CHARS = 16
# A process at rest takes 55 MB; below this, a single large request does not fit.
MIN_MEMORY_MB = 120
LOG_LEVELS = ("debug", "info", "warning", "error")
ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


def _is_text(value: object) -> bool:
    return isinstance(value, str) and bool(value.strip())


def _is_ip_address(value: object) -> bool:
    return isinstance(value, str) and ADDRESS.match(f"{value}:1") is not None


def _is_address(value: object) -> bool:
    return isinstance(value, str) and ADDRESS.match(value) is not None


def _is_port(value: object) -> bool:
    return type(value) is int and 0 < value < 65_536


def _is_address_list(value: object) -> bool:
    return isinstance(value, list) and all(_is_address(item) for item in value)


def _is_shared_key(value: object) -> bool:
    return isinstance(value, str) and len(value) >= MIN_SHARED_KEY_CHARS


def _is_connection_count(value: object) -> bool:
    return type(value) is int and 1 <= value <= 10_000


def _is_memory_size(value: object) -> bool:
    return value is None or type(value) is int and MIN_MEMORY_MB <= value <= 1_000_000


def _is_duration(value: object) -> bool:
    return type(value) in (int, float) and 0 < value <= 86_400


def _is_log_level(value: object) -> bool:
    return value in LOG_LEVELS


def setting(valid, allowed: str, **options):
    """Declare a setting with its validator and a description of allowed values."""
    return field(metadata={"valid": valid, "allowed": allowed}, **options)


@frozen
class Settings:
    """Settings that are specific to one host."""

    name: str = setting(_is_text, "a name")
    data_centre: str = setting(_is_text, "a data centre's name")
    address: str = setting(_is_ip_address, "an IPv4 address")
    http_port: int = setting(_is_port, "a port, 1 to 65535")
    peer_port: int = setting(_is_port, "a port, 1 to 65535")
    platform: str = setting(_is_address, "an IPv4 address and port, as 10.0.0.1:80")
    shared_key: str = setting(_is_shared_key, "16 characters or more", repr=False)
    seed_peers: list[str] = setting(
        _is_address_list, "a list of IPv4 addresses and ports", factory=list
    )
    platform_adapter: str = setting(_is_text, "an adapter's name", default="http")
    log_level: str = setting(_is_log_level, ", ".join(LOG_LEVELS), default="info")
    max_connections: int = setting(
        _is_connection_count, "1 to 10000", default=DEFAULT_MAX_CONNECTIONS
    )
    answer_lifetime_s: float = setting(
        _is_duration, "seconds, up to 86400", default=DEFAULT_ANSWER_LIFETIME_S
    )
    stop_grace_s: float = setting(
        _is_duration, "seconds, up to 86400", default=DEFAULT_STOP_GRACE_S
    )
    memory_mb: int | None = setting(
        _is_memory_size, f"{MIN_MEMORY_MB} to 1000000, in MB", default=None
    )

    @property
    def http_address(self) -> str:
        """Return the address for callers."""
        return f"{self.address}:{self.http_port}"

    @property
    def peer_address(self) -> str:
        """Return the address for other hosts."""
        return f"{self.address}:{self.peer_port}"
