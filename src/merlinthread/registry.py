"""A table of named things that decorators fill: policies, roles, message types."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Names mapped to objects of one sort; `what` names that sort in error messages."""

    def __init__(self, what: str) -> None:
        self.what = what
        self.entries: dict[str, T] = {}

    def add(self, name: str) -> Callable[[T], T]:
        """Return a decorator that files its object under `name`.

        Raises ValueError if the name is taken.
        """

        def file_under_name(item: T) -> T:
            if name in self.entries:
                raise ValueError(f"{self.what} {name!r} is registered twice")
            self.entries[name] = item
            return item

        return file_under_name

    def get(self, name: str) -> T:
        """Return the object filed under `name`; raise KeyError naming what there is."""
        if name not in self.entries:
            raise KeyError(f"no {self.what} {name!r}; there is {', '.join(sorted(self.entries))}")
        return self.entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.entries))
