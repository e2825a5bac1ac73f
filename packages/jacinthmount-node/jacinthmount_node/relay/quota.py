"""Rate and burst of accounts, as this host applies them."""

from jacinthmount.errors import PeerUnavailable, RateExceeded
from jacinthmount.fleet_config import AccountRule
from jacinthmount.held_shares import HeldShares
from jacinthmount.retry_schedule import RetrySchedule

from jacinthmount_node.logs import log_event
from jacinthmount_node.relay.messages import CreditAsk, TokenAsk, TokenGrant
from jacinthmount_node.relay.runner_link import RunnerLink
from jacinthmount_node.relay.state import RelayState

__all__ = ('AccountQuota',)

CREDIT_TIMEOUT_S = 0.1
MIN_WAIT_S = 0.1
# Of the aim of a request, for the question for its token.
AIM_PART = 0.5
# About as long as the next report needs to find another runner.
UNANSWERED_S = 0.3


class AccountQuota:
    """Takes a token for each request, from the pool where none is here."""

    __slots__ = (
        '_returns',
        '_runner_link',
        '_shares',
        '_state',
        '_unanswered_until',
        '_wait_until',
    )

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
        self._unanswered_until = 0.0
        self._returns = RetrySchedule()

    async def take(
        self,
        account: AccountRule,
        service: str,
        aim_s: float,
    ) -> str:
        """Takes one token of an account.

        :param service: what the request is for.
        :param aim_s: seconds in which its answer should begin.
        :returns: id of the endpoint that the runner chose, if it was asked.
        :raises RateExceeded: there is no token.
        """
        if account.rate_per_s <= 0:
            return ''
        now = self._state.now()
        fronts = len(self._state.fronts())
        self._shares.note_demand(account.name, account.burst, fronts, now)
        if self._take_here(account, fronts):
            return ''
        # Where the pool was empty just now, or where nobody answered, asking
        # again would be in vain.
        ask_at = self._wait_until.get(account.name, 0)
        if now >= max(ask_at, self._unanswered_until):
            endpoint_id = await self._ask(account, service, aim_s)
            if self._take_here(account, fronts):
                return endpoint_id
        if await self._take_on_credit(account, fronts):
            return ''
        raise self._make_refusal(account, fronts)

    def _make_refusal(self, account: AccountRule, fronts: int) -> RateExceeded:
        now = self._state.now()
        silent_s = max(0.0, self._unanswered_until - now)
        empty_s = max(0.0, self._wait_until.get(account.name, 0) - now)
        return RateExceeded(
            detail=(
                f'rate of {account.name} is used up: '
                f'{self._shares.describe(account.name, now)}, '
                f'pool empty for {empty_s:.2f} s, '
                f'runner silent for {silent_s:.2f} s more'
            ),
            retry_after_s=self._returns.plan_retry_after_s(
                account.name,
                account.rate_per_s / max(1, fronts),
                max(MIN_WAIT_S, empty_s, silent_s),
                now,
            ),
        )

    def _take_here(self, account: AccountRule, fronts: int) -> bool:
        return self._shares.take(
            account.name,
            account.rate_per_s,
            account.burst,
            fronts,
            self._state.now(),
        )

    async def _take_on_credit(self, account: AccountRule, fronts: int) -> bool:
        now = self._state.now()
        if now >= self._unanswered_until:
            return False
        taken = self._shares.take_on_credit(account.name, fronts, now)
        if not taken:
            taken = await self._ask_for_credit(account.name)
        if taken:
            log_event('rate_credit', account=account.name, fronts=fronts)
        return taken

    async def _ask_for_credit(self, account: str) -> bool:
        try:
            reply = await self._runner_link.request_any(
                CreditAsk(account=account),
                CREDIT_TIMEOUT_S,
            )
        except PeerUnavailable:
            return False
        return isinstance(reply, TokenGrant) and bool(reply.granted)

    async def _ask(
        self,
        account: AccountRule,
        service: str,
        aim_s: float,
    ) -> str:
        asked_at = self._state.now()
        grant = await self._ask_runner(account, service, aim_s)
        if grant is None:
            self._unanswered_until = self._state.now() + UNANSWERED_S
            self._wait_until[account.name] = asked_at + MIN_WAIT_S
            return ''
        self._shares.on_grant(account.name, grant.granted, asked_at)
        wait_s = 0.0 if grant.granted else grant.wait_s
        self._wait_until[account.name] = asked_at + wait_s
        return grant.endpoint_id

    async def _ask_runner(
        self,
        account: AccountRule,
        service: str,
        aim_s: float,
    ) -> TokenGrant | None:
        asked = TokenAsk(
            host=self._state.host,
            account=account.name,
            service=service,
            wanted=self._shares.tokens_wanted(account.name, self._state.now()),
        )
        try:
            reply = await self._runner_link.request(asked, aim_s * AIM_PART)
        except PeerUnavailable:
            return None
        if isinstance(reply, TokenGrant) and reply.known:
            return reply
        return None
