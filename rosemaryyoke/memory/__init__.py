"""The memory that a process may hold for its clients, and who loses it first."""

from rosemaryyoke.memory.budget import MemoryBudget, Phase, Reservation
from rosemaryyoke.memory.eviction import choose_connection, choose_holder
from rosemaryyoke.memory.plan import MemoryPlan, plan_memory

__all__ = [
    "MemoryBudget",
    "MemoryPlan",
    "Phase",
    "Reservation",
    "choose_connection",
    "choose_holder",
    "plan_memory",
]
