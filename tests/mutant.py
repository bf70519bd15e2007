"""Definition of a mutant."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A patch that disables a safety mechanism.

    Attributes:
        mechanism: what the disabled mechanism ensures.
        patch: patches the loaded modules.
        modules: test modules of which at least one should fail.
    """

    mechanism: str
    patch: Callable[[], None]
    modules: tuple[str, ...]

    @property
    def name(self) -> str:
        """Returns the mutant's name on the command line."""
        return self.patch.__name__
