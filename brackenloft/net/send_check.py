"""Asks, as an attempt is started and at each moment in which it would be written, whether it may be sent."""

from __future__ import annotations

import time
from collections.abc import Callable

from brackenloft.net.attempt import Attempt
from brackenloft.net.call import Call, CallListener
from brackenloft.net.lag import Lag
from brackenloft.net.sent_requests import SentRequests
from brackenloft.obligations import Obligations, SendFacts, Withheld, why_withheld


class SendCheck:
    """Gathers what is true of a request at that moment, and counts what is withheld.

    ``client_gone`` withdraws a request by its id. ``other``: who tells what another process of this gateway
    sends on, while there is one.
    """

    def __init__(
        self,
        lag: Lag,
        sent_requests: SentRequests,
        obligations: Obligations,
        client_gone: Callable[[str], None],
    ) -> None:
        self.lag, self.sent_requests, self.obligations = lag, sent_requests, obligations
        self.client_gone = client_gone
        self.other: CallListener | None = None

    def may_start(self, call: Call, wait_ms: float) -> bool:
        """Whether an attempt with so many milliseconds may be started."""
        self._notice_departure(call)
        facts = SendFacts(not call.answered, call.may_be_unwanted(time.monotonic()), wait_ms)
        return self._count(call, why_withheld(facts)) is None

    def why_withheld(self, call: Call, attempt: Attempt, now: float) -> Withheld | None:
        """Why an attempt may not be written now, by time.monotonic(); None: it may, or has ended."""
        self._notice_departure(call)
        if attempt.done is None:
            return None
        facts = SendFacts(
            not call.answered,
            call.may_be_unwanted(now),
            attempt.left_ms(now),
            attempt.window_ms(now),
            call.request.is_write and self._sent_elsewhere(call.request_id),
        )
        return self._count(call, why_withheld(facts))

    def may_have_run(self, request_id: str, now: float) -> bool:
        """Whether a request of this id was sent on, here or by another process; ``now`` in milliseconds."""
        self._catch_up()
        return self.sent_requests.may_have_run(request_id, now)

    def _count(self, call: Call, why: Withheld | None) -> Withheld | None:
        if why:
            self.obligations.withholds(call.request_id, why)
        return why

    def _notice_departure(self, call: Call) -> None:
        """Withdraw the request if its client has gone, though the loop has yet to read that.

        Guards against an attempt for a client whose end is read later in this turn of the loop; what is safe
        to repeat is looked at only where the loop was held up.
        """
        looks = call.left and not call.answered and (call.request.is_write or self.lag.held_up())
        if looks and call.left and call.left():
            self.client_gone(call.request_id)

    def _sent_elsewhere(self, request_id: str) -> bool:
        self._catch_up()
        return request_id in self.sent_requests.elsewhere

    def _catch_up(self) -> None:
        if self.other:
            self.other.catch_up()
