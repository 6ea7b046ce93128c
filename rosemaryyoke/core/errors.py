"""Errors of the kernel layer."""


class CoreError(Exception):
    """Base of the kernel layer's errors."""


class ServiceMissing(CoreError):
    """Report a service that no one added to the kernel."""


class ServiceStartFailed(CoreError):
    """Report a service that raised while it started."""
