"""A host that gets all requests of an account may use nearly its whole limit.

Guards against a fixed division of limits, which would admit only half of the limit when
callers use one of two home hosts.
"""

import time

from rosemaryyoke.testing.builders import System, api_key
from rosemaryyoke.wire import HttpRequest, send

LIMIT_PER_S = 20
RUN_S = 12.0
LIMIT_RULE = f"limit account=cedar requests_per_s={LIMIT_PER_S} # Ana, contract\n"


def test_one_home_gets_nearly_the_whole_limit():
    with System(engines=0, services=1, hosts=2, extra_rules=LIMIT_RULE) as system:
        headers = {"Authorization": f"Bearer {api_key('cedar')}"}
        url = f"http://{system.address('host0')}/services/records/read"
        began = time.monotonic()
        admitted = sent = 0
        while (passed := time.monotonic() - began) < RUN_S:
            answer = send(HttpRequest("GET", url, headers)).unwrap()
            sent += 1
            admitted += answer.ok and passed > RUN_S / 2
            time.sleep(max(0.0, sent / (2 * LIMIT_PER_S) - passed))
        rate = admitted / (RUN_S / 2)
        assert 0.8 * LIMIT_PER_S <= rate <= 1.15 * LIMIT_PER_S
