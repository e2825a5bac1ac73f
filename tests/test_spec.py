"""Exhaustive exploration of the specifications and their broken variants."""

import time

import pytest

from spec import (
    config_spread,
    crash_budget,
    engine_orders,
    keyed_call,
    loans,
    rate_parts,
    result_log,
    share_table,
    stream_versions,
)
from spec.checking import run_check

# An exploration only computes, so its time is bounded in processor time. The
# limit by wall clock only ends a search that hangs on a busy machine.
MAX_PROCESSOR_S = 120
pytestmark = pytest.mark.timeout(4 * MAX_PROCESSOR_S)

MODELS = {
    'result log': result_log.build(result_log.Rules()),
    'result log, repeatable': result_log.build(
        result_log.Rules(idempotent=True),
    ),
    'loans': loans.build(loans.Rules()),
    'share table': share_table.build(share_table.Rules()),
    'parts of a rate': rate_parts.build(rate_parts.Rules()),
    'configuration spread': config_spread.build(config_spread.Rules()),
    'keyed call': keyed_call.build(keyed_call.Rules()),
    'budget of a deadly request': crash_budget.build(
        crash_budget.Rules(is_deadly=True),
    ),
    'way back of a sound request': crash_budget.build(
        crash_budget.Rules(is_deadly=False),
    ),
    'versions of streams': stream_versions.build(stream_versions.Rules()),
    'engine orders, fenced': engine_orders.build(
        engine_orders.Rules(fenced=True),
    ),
    'engine orders, not fenced': engine_orders.build(
        engine_orders.Rules(fenced=False),
    ),
}

BROKEN = {
    'part on its way not counted': rate_parts.build(
        rate_parts.Rules(allocation=rate_parts.IgnoresPartsInFlight),
    ),
    'unheard hosts hold nothing': rate_parts.build(
        rate_parts.Rules(allocation=rate_parts.IgnoresUnreportedHosts),
    ),
    'old answer applied': rate_parts.build(
        rate_parts.Rules(apply_stale=True),
    ),
    'last result wins': result_log.build(
        result_log.Rules(last_wins=True, idempotent=True),
    ),
    'segments overwritten': result_log.build(
        result_log.Rules(append_unconditionally=True),
    ),
    'lease trusted without start record': result_log.build(
        result_log.Rules(ignore_started=True),
    ),
    'lender keeps all': loans.build(
        loans.Rules(bucket=loans.LenderKeepsAll),
    ),
    'tokens moved without capacity': loans.build(
        loans.Rules(bucket=loans.LenderRefills),
    ),
    'loan counted from its reply': loans.build(
        loans.Rules(count_from_reply=True),
    ),
    'new owner does not wait': share_table.build(
        share_table.Rules(host_buckets=share_table.SkipsOwnerWait),
    ),
    'late answers confirm': share_table.build(
        share_table.Rules(count_replies_from_read=True),
    ),
    'newer table confirms': share_table.build(
        share_table.Rules(newer_table_confirms=True),
    ),
    'deletions dropped': config_spread.build(
        config_spread.Rules(table=config_spread.DropsTombstones),
    ),
    'last message wins': config_spread.build(
        config_spread.Rules(table=config_spread.AcceptsAnyVersion),
    ),
    'listing without floor': config_spread.build(
        config_spread.Rules(table=config_spread.IgnoresListingRevision),
    ),
    'created without condition': keyed_call.build(
        keyed_call.Rules(create_unconditionally=True),
    ),
    'started call repeated': keyed_call.build(
        keyed_call.Rules(retry_unknown=True),
    ),
    'new holder does not wait': engine_orders.build(
        engine_orders.Rules(fenced=False, skip_wait=True),
    ),
    'lost answer skips the wait': engine_orders.build(
        engine_orders.Rules(fenced=False, forget_lost_answer=True),
    ),
    'paused holder orders late': engine_orders.build(
        engine_orders.Rules(fenced=False, order_late=True),
    ),
    'old declarations ordered': engine_orders.build(
        engine_orders.Rules(fenced=True, ignore_basis=True),
    ),
    'crash after progress forgotten': crash_budget.build(
        crash_budget.Rules(
            is_deadly=True, breaker=crash_budget.ForgetsLateCrashes
        ),
    ),
    'trials not counted by the record': crash_budget.build(
        crash_budget.Rules(is_deadly=True, count_trials=False),
    ),
    'runner without the record': stream_versions.build(
        stream_versions.Rules(keep_record=False),
    ),
    'version that left forgotten': stream_versions.build(
        stream_versions.Rules(forgets_at_once=True),
    ),
    'old list taken for complete': stream_versions.build(
        stream_versions.Rules(trusts_old_list=True),
    ),
    'version that came and left unseen': stream_versions.build(
        stream_versions.Rules(keep_history=True),
    ),
    'host ahead of the runner': stream_versions.build(
        stream_versions.Rules(host_ahead=True),
    ),
    'sent call said not to run': keyed_call.build(
        keyed_call.Rules(treat_sent_as_not_run=True),
    ),
}


@pytest.fixture(autouse=True)
def _bounded_processor_time():
    """Fails a test that uses more processor time than allowed."""
    started_s = time.process_time()
    yield
    assert time.process_time() - started_s < MAX_PROCESSOR_S


@pytest.mark.parametrize('name', MODELS)
def test_model_holds(name):
    """Every reachable state satisfies the invariants."""
    check = run_check(MODELS[name])
    assert not check.refuted, check.trace
    assert check.states > 100


@pytest.mark.parametrize('name', BROKEN)
def test_broken_variant_is_refuted(name):
    """Without a rule, the search finds a state that violates an invariant."""
    assert run_check(BROKEN[name]).refuted
