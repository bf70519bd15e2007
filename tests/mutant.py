"""What a mutant is."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A safety mechanism that is switched off.

    Attributes:
        switched_off: the mechanism that no longer works.
        patch: changes the loaded modules.
        modules: test modules that should fail.
    """

    switched_off: str
    patch: Callable[[], None]
    modules: tuple[str, ...]

    @property
    def name(self) -> str:
        """Name on the command line."""
        return self.patch.__name__
