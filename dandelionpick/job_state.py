"""State of jobs on the preferred scheduler."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Jobs:
    """All unfinished jobs of the failure domain."""
