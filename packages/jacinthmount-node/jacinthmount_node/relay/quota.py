"""Rate and burst of accounts, as this host applies them."""

from jacinthmount.errors import PeerUnavailable, RateExceeded
from jacinthmount.fleet_config import AccountRule
from jacinthmount.rate_shares import HeldShares

from jacinthmount_node.relay.messages import TokenAsk, TokenGrant
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState

__all__ = ('AccountQuota',)

ASK_TIMEOUT_S = 0.15
TOKENS_AHEAD = 2
MIN_WAIT_S = 0.1


class AccountQuota:
    """Takes a token for each request, from the pool where none is here."""

    __slots__ = ('_runner_link', '_shares', '_state', '_wait_until')

    def __init__(
        self,
        *,
        state: RelayState,
        runner_link: RunnerLink,
        shares: HeldShares,
    ) -> None:
        """Takes the parts that this host holds."""
        self._state = state
        self._runner_link = runner_link
        self._shares = shares
        self._wait_until: dict[str, float] = {}

    async def take(self, account: AccountRule) -> None:
        """Takes one token of an account.

        :raises RateExceeded: there is none.
        """
        if account.rate_per_s <= 0:
            return
        now = self._state.now()
        self._shares.note_demand(account.name, self._count_fronts(), now)
        if self._take_here(account):
            return
        # Where the pool was empty just now, asking again would be in vain.
        if now >= self._wait_until.get(account.name, 0):
            await self._ask(account)
            if self._take_here(account):
                return
        wait_s = self._wait_until.get(account.name, 0) - self._state.now()
        raise RateExceeded(
            detail=(
                f'rate of {account.name} is used up: '
                f'{self._shares.describe(account.name, now)}, '
                f'pool empty for {wait_s:.2f} s'
            ),
            retry_after_s=max(MIN_WAIT_S, wait_s),
        )

    def _count_fronts(self) -> int:
        return sum(not one.runs_batches for one in self._state.hosts.values())

    def _take_here(self, account: AccountRule) -> bool:
        return self._shares.take(
            account.name,
            account.rate_per_s,
            account.burst,
            self._count_fronts(),
            self._state.now(),
        )

    async def _ask(self, account: AccountRule) -> None:
        asked_at = self._state.now()
        wait_s = await self._ask_runner(account)
        self._wait_until[account.name] = asked_at + wait_s

    async def _ask_runner(self, account: AccountRule) -> float:
        asked_at = self._state.now()
        try:
            reply = await self._runner_link.ask(
                TokenAsk(account=account.name, wanted=TOKENS_AHEAD),
                ASK_TIMEOUT_S,
            )
        except PeerUnavailable:
            return MIN_WAIT_S
        if not isinstance(reply, TokenGrant):
            return MIN_WAIT_S
        self._shares.on_grant(account.name, reply.granted, asked_at)
        return 0.0 if reply.granted else reply.wait_s
