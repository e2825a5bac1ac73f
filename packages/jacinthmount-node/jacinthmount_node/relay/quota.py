"""Rate limits of client accounts, as one front enforces them."""

from jacinthmount.errors import (
    JacinthmountError,
    PeerUnavailable,
    RateExceeded,
    ShareUnconfirmed,
)
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
# Share of the latency target of a request for getting its token.
TARGET_FRACTION = 0.5
# About the time until the next host report finds another runner.
NO_ANSWER_BACKOFF_S = 0.3


class AccountQuota:
    """Takes a token for each request, from this host's share or the pool."""

    __slots__ = (
        '_retry_schedule',
        '_runner_link',
        '_shares',
        '_state',
        '_runner_retry_at',
        '_pool_retry_at',
    )

    def __init__(
        self,
        *,
        state: RelayState,
        runner_link: RunnerLink,
        shares: HeldShares,
    ) -> None:
        self._state = state
        self._runner_link = runner_link
        self._shares = shares
        self._pool_retry_at: dict[str, float] = {}
        self._runner_retry_at = 0.0
        self._retry_schedule = RetrySchedule()

    async def take(
        self,
        account: AccountRule,
        service: str,
        target_s: float,
    ) -> str:
        """Takes one token of an account.

        :param service: the service that the request is for.
        :param target_s: seconds in which its answer should begin.
        :returns: id of the endpoint that the active runner chose, or an empty
            string if the token did not come from it.
        :raises RateExceeded: no token is available.
        :raises ShareUnconfirmed: no runner can tell whether one is.
        """
        if account.rate_per_s <= 0:
            return ''
        now = self._state.now()
        fronts = len(self._state.fronts())
        self._shares.note_demand(account.name, account.burst, fronts, now)
        if self._take_local(account, fronts):
            return ''
        # Skips the request if the pool was just empty or the runner did not
        # answer.
        pool_retry_at = self._pool_retry_at.get(account.name, 0)
        if now >= max(pool_retry_at, self._runner_retry_at):
            endpoint_id = await self._request_tokens(account, service, target_s)
            if self._take_local(account, fronts):
                return endpoint_id
        if await self._take_on_credit(account, fronts):
            return ''
        raise self._make_refusal(account, fronts)

    def _make_refusal(
        self, account: AccountRule, fronts: int
    ) -> JacinthmountError:
        now = self._state.now()
        no_answer_s = max(0.0, self._runner_retry_at - now)
        empty_s = max(0.0, self._pool_retry_at.get(account.name, 0) - now)
        is_told = now >= self._runner_retry_at
        error = RateExceeded if is_told else ShareUnconfirmed
        return error(
            detail=(
                f'no token of {account.name}: '
                f'{self._shares.describe(account.name, now)}, '
                f'pool empty for {empty_s:.2f} s, '
                f'runner request possible in {no_answer_s:.2f} s'
            ),
            retry_after_s=self._retry_schedule.plan_retry_after_s(
                account.name,
                account.rate_per_s / max(1, fronts),
                max(MIN_WAIT_S, empty_s, no_answer_s),
                now,
            ),
        )

    def _take_local(self, account: AccountRule, fronts: int) -> bool:
        return self._shares.take(
            account.name,
            account.rate_per_s,
            account.burst,
            fronts,
            self._state.now(),
        )

    async def _take_on_credit(self, account: AccountRule, fronts: int) -> bool:
        now = self._state.now()
        if now >= self._runner_retry_at:
            return False
        taken = self._shares.take_on_credit(account.name, fronts, now)
        if not taken:
            taken = await self._request_credit(account.name)
        if taken:
            log_event('rate_credit', account=account.name, fronts=fronts)
        return taken

    async def _request_credit(self, account: str) -> bool:
        try:
            reply = await self._runner_link.request_any(
                CreditAsk(account=account),
                CREDIT_TIMEOUT_S,
            )
        except PeerUnavailable:
            return False
        return isinstance(reply, TokenGrant) and bool(reply.granted)

    async def _request_tokens(
        self,
        account: AccountRule,
        service: str,
        target_s: float,
    ) -> str:
        sent_at = self._state.now()
        grant = await self._query_runner(account, service, target_s)
        if grant is None:
            self._runner_retry_at = self._state.now() + NO_ANSWER_BACKOFF_S
            self._pool_retry_at[account.name] = sent_at + MIN_WAIT_S
            return ''
        self._shares.on_grant(account.name, grant.granted, sent_at)
        wait_s = 0.0 if grant.granted else grant.wait_s
        self._pool_retry_at[account.name] = sent_at + wait_s
        return grant.endpoint_id

    async def _query_runner(
        self,
        account: AccountRule,
        service: str,
        target_s: float,
    ) -> TokenGrant | None:
        token_request = TokenAsk(
            host=self._state.host,
            account=account.name,
            service=service,
            wanted=self._shares.tokens_wanted(account.name, self._state.now()),
        )
        try:
            reply = await self._runner_link.request(
                token_request, target_s * TARGET_FRACTION
            )
        except PeerUnavailable:
            return None
        if isinstance(reply, TokenGrant) and reply.known:
            return reply
        return None
