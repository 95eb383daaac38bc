"""Registries of named objects, filled by decorators: policies, roles, message types."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """A map of names to objects of one kind; `kind` names it in error messages."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, T] = {}

    def add(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its object as `name`.

        The decorator raises ValueError if the name is already registered.
        """

        def register(item: T) -> T:
            if name in self.entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.entries[name] = item
            return item

        return register

    def get(self, name: str) -> T:
        """Return the object registered as `name`; raise KeyError listing the known names."""
        if name not in self.entries:
            raise KeyError(
                f"unknown {self.kind} {name!r}; known: {', '.join(sorted(self.entries))}"
            )
        return self.entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.entries))
