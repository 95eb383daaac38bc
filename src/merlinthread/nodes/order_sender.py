"""Sends orders to the local engine, again and again until their fate is known."""

import asyncio
import contextlib

from merlinthread import errors, logs
from merlinthread.coordination import load_orders
from merlinthread.nodes import engine_client

POLL_INTERVAL_S = 0.02
# Reports without a change of the revision after which an unanswered order is sent again. The first
# one may have been requested before the order.
REPORTS_BEFORE_RESEND = 2


class OrderSender:
    """Sends one order at a time to one engine.

    The owner passes on the engine's reports and the end of its process, which tell the fate of an
    order that got no response.
    """

    def __init__(self, engine: engine_client.EngineClient) -> None:
        self.engine = engine
        # The last order while it is open.
        self.order: load_orders.LoadOrder | None = None
        self.report_count = 0

    def record_revision(self, revision: int) -> None:
        """Record the revision in a report of the engine."""
        self.report_count += 1
        if self.order is not None:
            self.order.record_revision(revision)

    def record_engine_end(self) -> None:
        """Record that the engine's process has ended: it takes no order any more."""
        if self.order is not None:
            self.order.record_engine_end()

    async def send(self, order: load_orders.LoadOrder) -> None:
        """Send a copy of an order, and record its response or that there is none.

        Raises NotListeningError if the engine can't have received it.
        """
        self.order = order
        manifest = order.manifest
        arguments = (manifest.model, manifest.version, False, order.layers, order.revision)
        order.unanswered += 1
        try:
            status = await self.engine.load_staged_weights(*arguments)
        except errors.NotListeningError:
            order.record_engine_end()
            raise
        except errors.MerlinthreadError as error:
            logs.event(
                "order_unanswered",
                version=manifest.version,
                revision=order.revision,
                copies=order.unanswered,
                reason=error.message,
            )
            return
        order.unanswered -= 1
        order.record_status(status)
        logs.event("engine_ordered", version=manifest.version, status=status)

    async def settle(self, order: load_orders.LoadOrder) -> None:
        """Send an order again until its fate is known."""
        if not order.is_open():
            return
        while order.is_open():
            await self.wait_for_reports(order)
            if order.is_open():
                with contextlib.suppress(errors.NotListeningError):
                    await self.send(order)
        logs.event(
            "order_settled",
            version=order.manifest.version,
            revision=order.revision,
            fate=order.fate.value,
        )

    async def wait_for_reports(self, order: load_orders.LoadOrder) -> None:
        """Wait until the engine has reported often enough, or the fate of the order is known."""
        due_count = self.report_count + REPORTS_BEFORE_RESEND
        while order.is_open() and self.report_count < due_count:
            await asyncio.sleep(POLL_INTERVAL_S)
