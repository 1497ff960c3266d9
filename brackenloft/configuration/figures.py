"""Figures of a control server, for ``GET /metrics`` in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

PREFIX = "brackenloft_control_"


class Figures:
    """Counted where the event happens; gauges are set by ``ControlService`` before they are read."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = self._counter("answers", "Answers to gateways.", "kind")
        self.publishes = self._counter("publishes", "Publishes that were coordinated here.", "outcome")
        self.proposals = self._counter("proposals", "Proposals of peers.", "outcome")
        self.refused = self._counter("refused_requests", "Requests that were refused.", "reason")
        self.chunk_bytes = self._counter("chunk_bytes", "Bytes of snapshots sent.")
        self.standing = self._gauge("standing_revision", "The revision that stands here.")
        self.verified = self._gauge("verified_seconds", "Since a majority of stores said what stands.")
        self.waiting = self._gauge("waiting_polls", "Long polls that wait for a change.")
        self.runs = self._gauge("runs", "Processes of gateways that are known here.")
        self.complete = self._gauge("roster_complete", "1 if all runs that were told here are known.")
        self.proposals_held = self._gauge("proposals_held", "Records that may come to stand.")
        self.records = self._gauge("log_records", "Records in the log.")
        self.read_failures = self._gauge("register_read_failures", "Readings of the register that failed.")
        self.enrol_failures = self._gauge("enrolment_failures", "Enrolments that too few servers took.")
        self.disk_failures = self._gauge("disk_failures", "Writes to the disk that failed.")
        self.damaged_files = self._gauge("damaged_files", "Files found damaged at the start.")

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(PREFIX + name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(PREFIX + name, text, registry=self.registry)

    def text(self) -> bytes:
        """All figures as they are now."""
        return generate_latest(self.registry)
