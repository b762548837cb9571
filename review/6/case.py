"""Case 6: an order that has run is answered 503, so its caller places it again."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import standin

ORDERS = 120
CALLERS = 6
FAILING_SHARE = 0.4  # srv_grey: x, the part of its requests that a server fails
DEADLINE_MS = 2500


class Shop(standin.Server):
    """A shop server that fails a part of its requests while its health check is good.

    It books the order and then fails, for example because the payment service behind it did not answer. Its
    failure is a 503 with its seal and without Not-Executed: it does not state that the order has not run.
    """

    grey = False

    def run(self, request, connection):
        if not self.grey or random.random() >= FAILING_SHARE:
            return super().run(request, connection)
        request_id = request.header("Request-Id")
        self.fleet.record.line("run", request_id, "at", self.id, "fails with 503 and no Not-Executed")
        self.fleet.ran(request_id, self)
        time.sleep(self.work_s)
        standin.answer(connection, 503, [("Request-Id", request_id), ("Response-Seal", "seal")], b"payment service away")
        return True


def place(fleet, order, results):
    """Places an order as a caller does: after a promise that it has not run, once more with a new id."""
    for attempt in (1, 2):
        request_id = "order%d-try%d-%04x" % (order, attempt, random.getrandbits(16))
        daemon = random.choice(fleet.daemons)
        fleet.record.line("send", request_id, "to", daemon.name)
        try:
            status, fields, _ = standin.ask(daemon.entry, "POST", "/order/%d" % order,
                                            [("Request-Id", request_id), ("Deadline-Ms", DEADLINE_MS)], b"x" * 200, timeout=4)
        except OSError as error:
            status, fields = 0, {"error": error}
        fleet.record.line("answered", request_id, status, "seal" if "response-seal" in fields else "")
        results.append((order, request_id, status))
        if status not in (429, 503):
            return
        time.sleep(min(float(fields.get("retry-after", "0.05")), DEADLINE_MS / 3000))


def case(fleet, trouble):
    zones = ["ro-central-a", "ro-central-b", "ro-central-c"]
    fleet.configure()
    for i in range(3):
        fleet.servers.append(standin.Server(fleet, "engines", zones[i], stage="decode" if i else "prefill", slots=32))
    for i in range(3):
        fleet.servers.append(Shop(fleet, "shop", zones[i]))
    for i in range(2):
        fleet.daemons.append(standin.Daemon(fleet, "edge-%s-1" % zones[i], zones[i]))
        fleet.daemons[i].start()
    fleet.await_ready()
    time.sleep(2)
    fleet.servers[-1].grey = trouble
    results = []

    def caller(first):
        for order in range(first, ORDERS, CALLERS):
            place(fleet, order, results)

    callers = [threading.Thread(target=caller, args=(i,)) for i in range(CALLERS)]
    for thread in callers:
        thread.start()
    for thread in callers:
        thread.join()
    served = sum(1 for result in results if result[2] == 200)
    if served < ORDERS / 2:
        raise standin.CannotRun("only %d orders are served" % served)
    refused = [result for result in results if result[2] in (408, 421, 429, 503) and result[1] in fleet.runs]
    run = {}
    for order, request_id, _ in results:
        run[order] = run.get(order, 0) + len(fleet.runs.get(request_id, []))
    doubled = sum(1 for count in run.values() if count > 1)
    line = "%d requests sent, %d answered 200, %d answered 503 though they have run; %d of %d orders ran twice" % (
        len(results), served, len(refused), doubled, ORDERS)
    print(line)
    fleet.record.line(line)
    return not refused


standin.main(os.path.dirname(os.path.abspath(__file__)), case)
