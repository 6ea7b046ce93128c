"""Errors of the kernel layer."""


class CoreError(Exception):
    """Base class of kernel errors."""


class ServiceMissing(CoreError):
    """The kernel has no service of the requested name."""


class ServiceStartFailed(CoreError):
    """A service raised an exception in its ``start`` method."""
