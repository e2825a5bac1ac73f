"""Refusals that state that a request has not run, on real processes."""

import threading
import time

from tests.site import eventually


def test_request_that_ran_is_refused_as_not_run(one_host_site):
    """Its engine is lost and no other is left for a repeat: 502, not 503."""
    site = one_host_site
    _, key = site.grant('gin')
    port = site.fleet.engine_port('engine-1')
    eventually(lambda: site.chat('east-h1', key, 'warm').status == 200, 20)
    answers = []
    asking = threading.Thread(
        target=lambda: answers.append(
            site.chat('east-h1', key, 'long', max_tokens=400)
        ),
    )
    asking.start()
    eventually(lambda: site.stats(port)['running'] == 1, 10)
    time.sleep(0.1)
    site.fleet.kill('engine-1')
    asking.join()
    assert answers[0].status == 502, answers[0].body
    assert answers[0].error['run_state'] != 'not_run'
