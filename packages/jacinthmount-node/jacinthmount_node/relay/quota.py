"""Rate and burst of accounts, as this host applies them."""

import curio
from jacinthmount.credits import CreditBook
from jacinthmount.errors import PeerUnavailable, RateExceeded
from jacinthmount.fleet_config import AccountRule

from jacinthmount_node.peers import PeerLinks
from jacinthmount_node.relay.messages import TokenAsk, TokenGrant
from jacinthmount_node.relay.reports import HostReporter
from jacinthmount_node.relay.state import RelayState

__all__ = ('AccountQuota',)

ASK_TIMEOUT_S = 0.15
TOKENS_AHEAD = 2
MIN_WAIT_S = 0.1


class AccountQuota:
    """Takes a token for each request, from the grantor where none is here."""

    __slots__ = ('_asking', '_book', '_links', '_reporter', '_state')

    def __init__(
        self,
        *,
        state: RelayState,
        links: PeerLinks,
        reporter: HostReporter,
    ) -> None:
        """Starts with no tokens."""
        self._state = state
        self._links = links
        self._reporter = reporter
        self._book = CreditBook()
        self._asking: set[str] = set()

    async def take(self, account: AccountRule) -> None:
        """Takes one token of an account.

        :raises RateExceeded: there is none.
        """
        if account.rate_per_s <= 0:
            return
        if not self._take_here(account):
            wait_s = await self._ask(account)
            if not self._take_here(account):
                raise RateExceeded(
                    detail=f'rate of {account.name} is used up',
                    retry_after_s=max(MIN_WAIT_S, wait_s),
                )
        at_hand = self._book.at_hand(account.name, self._state.now())
        if at_hand < 1 and account.name not in self._asking:
            self._asking.add(account.name)
            await curio.spawn(self._ask_ahead, account, daemon=True)

    def _take_here(self, account: AccountRule) -> bool:
        fronts = [
            one for one in self._state.hosts.values() if not one.runs_batches
        ]
        return self._book.take(
            account.name,
            account.rate_per_s,
            account.burst,
            len(fronts),
            self._state.now(),
        )

    async def _ask_ahead(self, account: AccountRule) -> None:
        try:
            await self._ask(account)
        finally:
            self._asking.discard(account.name)

    async def _ask(self, account: AccountRule) -> float:
        runner = self._reporter.find_active()
        if runner is None:
            return MIN_WAIT_S
        asked_at = self._state.now()
        try:
            reply = await self._links.request_at(
                runner.peer_address,
                TokenAsk(account=account.name, wanted=TOKENS_AHEAD),
                ASK_TIMEOUT_S,
            )
        except PeerUnavailable:
            return MIN_WAIT_S
        if not isinstance(reply, TokenGrant):
            return MIN_WAIT_S
        self._book.on_grant(account.name, reply.granted, asked_at)
        return reply.wait_s
