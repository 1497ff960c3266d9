"""The registry's state: leases, their expiry with self-preservation, and the window of recent changes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from brackenloft.standins.eureka.documents import show
from brackenloft.standins.eureka.lease import Info, Lease

RETENTION_MS = 180_000.0  # how long a change stays in the delta
RENEWALS_SHARE = 0.85  # of the renewals expected; below it no lease expires
STATUSES = ("UP", "DOWN", "STARTING", "OUT_OF_SERVICE", "UNKNOWN")


class Registry:
    """The book. ``now`` is its clock in Unix milliseconds, which need not agree with anybody's."""

    def __init__(self, now: Callable[[], float], retention_ms: float = RETENTION_MS) -> None:
        self.now, self.retention_ms = now, retention_ms
        self.leases: dict[tuple[str, str], Lease] = {}
        self.recent: deque[tuple[float, tuple[str, str], Lease]] = deque()
        self.version = 0
        self.preserves = False  # self-preservation is in force: no lease expires
        self.renewals: deque[float] = deque()  # of the last minute

    def restart(self) -> None:
        """Forget everything, as a registry without peers does."""
        self.leases.clear()
        self.recent.clear()
        self.version, self.preserves = 0, False

    # ---- What instances do

    def register(self, app: str, info: Info) -> None:
        """A registration, the first or another one: it ends what was known, but for the override."""
        name = (app.upper(), str(info.get("instanceId") or info["hostName"]))
        before, now = self.leases.get(name), self.now()
        lease = Lease(info, _status(info.get("status", "UP")), registered_ms=now, renewed_ms=now)
        if before:
            lease.override, lease.up_since_ms = before.override, before.up_since_ms
        self.leases[name] = lease
        self._changed(name, "ADDED")

    def renew(self, app: str, name: str, status: str | None = None) -> bool:
        """A heartbeat; False if there is no such lease."""
        lease = self.leases.get((app.upper(), name))
        if lease is None:
            return False
        lease.renewed_ms = self.now()
        self.renewals.append(lease.renewed_ms)
        if status and _status(status) != lease.status:
            lease.status = _status(status)
            self._changed((app.upper(), name), "MODIFIED")
        return True

    def cancel(self, app: str, name: str) -> bool:
        """It leaves."""
        if (app.upper(), name) not in self.leases:
            return False
        self._changed((app.upper(), name), "DELETED")
        del self.leases[app.upper(), name]
        return True

    def override(self, app: str, name: str, status: str | None) -> bool:
        """An operator takes it out of service, or back (None)."""
        lease = self.leases.get((app.upper(), name))
        if lease is None:
            return False
        lease.override = _status(status) if status else "UNKNOWN"
        self._changed((app.upper(), name), "MODIFIED")
        return True

    def metadata(self, app: str, name: str, values: dict[str, str]) -> bool:
        """It changes some of what it says of itself."""
        lease = self.leases.get((app.upper(), name))
        if lease is None:
            return False
        lease.info = {**lease.info, "metadata": {**lease.info.get("metadata", {}), **values}}
        self._changed((app.upper(), name), "MODIFIED")
        return True

    def _changed(self, name: tuple[str, str], action: str) -> None:
        lease, now = self.leases[name], self.now()
        lease.action, lease.updated_ms = action, now
        if lease.shown == "UP" and not lease.up_since_ms:
            lease.up_since_ms = now
        self.recent.append((now, name, lease))

    def expire(self) -> None:
        """Once a minute: leases that were not renewed end, unless too many did and it doubts itself."""
        now = self.now()
        while self.renewals and self.renewals[0] < now - 60_000.0:
            self.renewals.popleft()
        expected = sum(
            60.0 / lease.info.get("leaseInfo", {}).get("renewalIntervalInSecs", 30)
            for lease in self.leases.values()
        )
        self.preserves = len(self.renewals) < RENEWALS_SHARE * expected
        if self.preserves:
            return
        for (app, name), lease in list(self.leases.items()):
            if now - lease.renewed_ms > lease.lasts_ms:
                self.cancel(app, name)

    # ---- What is asked

    def hashcode(self) -> str:
        """How many instances have each status."""
        counts: dict[str, int] = {}
        for lease in self.leases.values():
            counts[lease.shown] = counts.get(lease.shown, 0) + 1
        return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))

    def whole(self) -> Info:
        """All applications."""
        return self._document(list(self.leases), self.leases)

    def delta(self) -> Info:
        """What has changed within the window, each instance once, and the count of the whole."""
        now = self.now()
        while self.recent and self.recent[0][0] < now - self.retention_ms:
            self.recent.popleft()
        self.version += 1
        last = {name: lease for _, name, lease in self.recent}
        return self._document(list(last), last)

    def under(self, vip: str, secure: bool = False) -> Info | None:
        """Those under a virtual address; None if there are none."""
        key = "secureVipAddress" if secure else "vipAddress"
        names = [
            name for name, lease in self.leases.items() if vip in str(lease.info.get(key, "")).split(",")
        ]
        if not names:
            return None
        document = self._document(names, self.leases)
        counts: dict[str, int] = {}
        for name in names:
            counts[self.leases[name].shown] = counts.get(self.leases[name].shown, 0) + 1
        document["apps__hashcode"] = "".join(f"{status}_{counts[status]}_" for status in sorted(counts))
        return document

    def app(self, app: str) -> Info | None:
        """One application."""
        found = {name: lease for name, lease in self.leases.items() if name[0] == app.upper()}
        return {"name": app.upper(), "instance": [show(*item) for item in found.items()]} if found else None

    def _document(self, names: list[tuple[str, str]], leases: dict[tuple[str, str], Lease]) -> Info:
        apps: dict[str, list[Info]] = {}
        for name in names:
            apps.setdefault(name[0], []).append(show(name, leases[name]))
        return {
            "versions__delta": str(self.version),
            "apps__hashcode": self.hashcode(),
            "application": [{"name": name, "instance": shown} for name, shown in apps.items()],
        }


def _status(value: object) -> str:
    return str(value) if value in STATUSES else "UNKNOWN"
