"""Stateful tests: any order of steps keeps the invariants."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from jacinthmount.fairness import FairQueue
from jacinthmount.ports import Listing, Stored
from jacinthmount.table import ConfigTable

NAMES = ('fleet/a', 'fleet/b', 'fleet/c')
TABLES = 3
ACCOUNTS = ('gin', 'mill', 'port')
WEIGHTS = {'gin': 1.0, 'mill': 2.0, 'port': 0.5}
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


class TableMachine(RuleBasedStateMachine):
    """Hosts that receive changes late, twice, in any order or not at all."""

    def __init__(self):
        """Starts with an empty object store."""
        super().__init__()
        self.revision = 0
        self.current = {}
        self.history = []
        self.listings = [Listing(objects=[], revision=0)]
        self.tables = [ConfigTable() for _ in range(TABLES)]
        self.seen = [{} for _ in range(TABLES)]

    def change(self, name, body):
        """Changes an object in the store."""
        self.revision += 1
        stored = Stored(name=name, version=self.revision, body=body)
        self.current[name] = stored
        self.history.append(stored)
        live = [one for one in self.current.values() if one.body is not None]
        self.listings.append(Listing(objects=live, revision=self.revision))

    @rule(name=st.sampled_from(NAMES))
    def write(self, name):
        """An operator writes an object."""
        self.change(name, f'body {self.revision}')

    @precondition(lambda machine: machine.current)
    @rule(drawn=st.data())
    def delete(self, drawn):
        """An operator deletes an object."""
        name = drawn.draw(st.sampled_from(sorted(self.current)))
        if self.current[name].body is not None:
            self.change(name, None)

    @precondition(lambda machine: machine.history)
    @rule(drawn=st.data(), index=st.integers(0, TABLES - 1))
    def deliver(self, drawn, index):
        """Any version of an object arrives at a host."""
        one = drawn.draw(st.sampled_from(self.history))
        self.tables[index].merge([one])

    @rule(drawn=st.data(), index=st.integers(0, TABLES - 1))
    def load(self, drawn, index):
        """A listing of any revision arrives at a host."""
        listing = drawn.draw(st.sampled_from(self.listings))
        self.tables[index].load(listing)

    @rule(
        giver=st.integers(0, TABLES - 1),
        taker=st.integers(0, TABLES - 1),
    )
    def compare(self, giver, taker):
        """Two hosts exchange digests, and one merges the newer objects."""
        theirs = self.tables[taker].differing(self.tables[giver].digest())
        newer = self.tables[giver].newer_than(theirs)
        self.tables[taker].merge(newer)

    @invariant()
    def no_version_goes_down(self):
        """Versions in a table never go back and match what was written."""
        written = {(one.name, one.version): one.body for one in self.history}
        for table, seen in zip(self.tables, self.seen, strict=True):
            for name in NAMES:
                held = table.read(name)
                if held is None:
                    continue
                assert held.version >= seen.get(name, 0)
                assert held.body == written[name, held.version]
                seen[name] = held.version

    def teardown(self):
        """After the newest listing every table equals the store."""
        for table in self.tables:
            table.load(self.listings[-1])
            for name in NAMES:
                held = table.read(name)
                wanted = self.current.get(name)
                if wanted is not None and wanted.body is None:
                    wanted = None
                assert held == wanted


class QueueMachine(RuleBasedStateMachine):
    """Requests of several accounts that wait, run, end and are cancelled."""

    def __init__(self):
        """Starts with an empty queue."""
        super().__init__()
        self.queue = FairQueue()
        self.waiting = {account: [] for account in ACCOUNTS}
        self.running = dict.fromkeys(ACCOUNTS, 0)
        self.number = 0

    @rule(account=st.sampled_from(ACCOUNTS), tokens=st.integers(1, 500))
    def push(self, account, tokens):
        """A request joins the queue."""
        self.number += 1
        entry = (account, self.number)
        self.queue.push(account, WEIGHTS[account], tokens, entry)
        self.waiting[account].append(entry)

    @precondition(lambda machine: len(machine.queue))
    @rule()
    def pop(self):
        """The next request is of the account with the least weighted load."""
        loads = {
            account: self.running[account] / WEIGHTS[account]
            for account in ACCOUNTS
            if self.waiting[account]
        }
        account, number = self.queue.pop()
        assert loads[account] == min(loads.values())
        assert self.waiting[account].pop(0) == (account, number)
        self.queue.begin(account)
        self.running[account] += 1

    @rule(account=st.sampled_from(ACCOUNTS))
    def end(self, account):
        """A running request ends."""
        if self.running[account]:
            self.running[account] -= 1
            self.queue.end(account)

    @rule(account=st.sampled_from(ACCOUNTS), place=st.integers(0, 9))
    def give_up(self, account, place):
        """A waiting request is removed."""
        waiting = self.waiting[account]
        if place < len(waiting):
            assert self.queue.remove(account, waiting.pop(place))

    @invariant()
    def counts_agree(self):
        """No request is lost or queued twice."""
        counted = {account: self.queue.waiting(account) for account in ACCOUNTS}
        expected = {
            account: len(waiting) for account, waiting in self.waiting.items()
        }
        assert counted == expected
        assert len(self.queue) == sum(expected.values())


def test_tables_never_go_back():
    """The configuration table under any order of messages."""
    run_state_machine_as_test(TableMachine, settings=SETTINGS)


def test_queue_serves_the_account_with_the_least_running():
    """The fair queue under any order of requests."""
    run_state_machine_as_test(QueueMachine, settings=SETTINGS)
