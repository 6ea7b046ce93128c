"""Micro-kernel: starts services by name and in order."""

from typing import Protocol

from absl import logging

from rosemaryyoke.core.errors import ServiceMissing, ServiceStartFailed


class Service(Protocol):
    """What the kernel asks of a service."""

    def start(self) -> None:
        """Begin work; other services may be asked for by name."""

    def stop(self) -> None:
        """End work and free what was taken."""


class Kernel:
    """Hold the services of one process."""

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.started: list[str] = []

    def add(self, name: str, service: Service) -> None:
        """File a service under a name; the order of adding is that of starting."""
        if name in self.services:
            raise ValueError(f"service {name!r} is added twice")
        self.services[name] = service

    def get(self, name: str) -> Service:
        """Return a service; raise ``ServiceMissing`` for an unknown name."""
        if name not in self.services:
            raise ServiceMissing(name)
        return self.services[name]

    def start(self) -> None:
        """Start every service; on a failure stop the ones that run and raise."""
        for name, service in self.services.items():
            try:
                service.start()
            except Exception as error:
                logging.exception("service %s did not start", name)
                self.stop()
                raise ServiceStartFailed(f"{name}: {error}") from error
            self.started.append(name)

    def stop(self) -> None:
        """Stop the running services, last started first."""
        while self.started:
            name = self.started.pop()
            try:
                self.services[name].stop()
            except Exception:
                logging.exception("service %s did not stop cleanly", name)
