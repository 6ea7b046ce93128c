"""Micro-kernel that starts and stops the services of a process in order."""

from typing import Protocol

from absl import logging

from rosemaryyoke.core.errors import ServiceMissing, ServiceStartFailed


class Service(Protocol):
    """Interface that a service implements for the kernel."""

    def start(self) -> None:
        """Start work; other services can be looked up by name."""

    def stop(self) -> None:
        """Stop work and release resources."""


class Kernel:
    """Registry of the services of one process."""

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.started: list[str] = []

    def add(self, name: str, service: Service) -> None:
        """Add a service; services start in the order in which they are added."""
        if name in self.services:
            raise ValueError(f"service {name!r} has already been added")
        self.services[name] = service

    def get(self, name: str) -> Service:
        """Return a service; raise ``ServiceMissing`` for an unknown name."""
        if name not in self.services:
            raise ServiceMissing(name)
        return self.services[name]

    def start(self) -> None:
        """Start all services; on a failure, stop those already started and raise."""
        for name, service in self.services.items():
            try:
                service.start()
            except Exception as error:
                logging.exception("service %s failed to start", name)
                self.stop()
                raise ServiceStartFailed(f"{name}: {error}") from error
            self.started.append(name)

    def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self.started:
            name = self.started.pop()
            try:
                self.services[name].stop()
            except Exception:
                logging.exception("service %s failed to stop", name)
