"""The subject of configuration checks."""

from attrs import frozen

from rosemaryyoke.catalog import Configuration, Quota, ServiceTraits


@frozen
class DeclaredConfiguration:
    """A configuration, with entries that hosts drop when they decode it.

    ``services`` are in the order of the file and include repeated names. ``quotas``
    has one entry for each account, also with a rate of 0; ``None`` is a malformed one.
    """

    configuration: Configuration
    services: tuple[ServiceTraits, ...]
    quotas: tuple[Quota | None, ...]
