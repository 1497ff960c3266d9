"""The lease of one registered instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

LEASE_S = 90  # of an instance that names none
Info = dict[str, Any]  # an instance or a document, as JSON


@dataclass(slots=True)
class Lease:
    """An instance's entry."""

    info: Info  # as it registered
    status: str  # by its own word
    override: str = "UNKNOWN"
    registered_ms: float = 0.0
    renewed_ms: float = 0.0
    up_since_ms: float = 0.0
    updated_ms: float = 0.0
    action: str = "ADDED"

    @property
    def shown(self) -> str:
        """The status that others are told: an override outranks UP and OUT_OF_SERVICE, DOWN outranks it."""
        if self.status in ("DOWN", "STARTING") or self.override == "UNKNOWN":
            return self.status
        return self.override

    @property
    def lasts_ms(self) -> float:
        """How long it lives without a renewal."""
        return float(self.info.get("leaseInfo", {}).get("durationInSecs", LEASE_S)) * 1000.0
