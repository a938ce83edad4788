"""The client library: its plan by tables, its wire against peers that misbehave, a balancer that restarts."""

import socket
import threading
from math import inf
from random import Random
from time import monotonic, sleep

import pytest

from hopsail.client import Client, Deadline, Effect, Faulty, MayHaveRun, NeverRan, RefusedUntil
from hopsail.client.client import Steady
from hopsail.client.places import Places
from hopsail.client.plan import MOST_TRIES, MOST_WAIT, MS, SECOND, advised
from hopsail.client.plan import Budget, Ending, Failed, Plan, Try, Wait
from hopsail.emulator import scenario
from hopsail.load.rig import Rig

NOW = 10**15
ONCE, KEYED, FREE = Effect.ONCE, Effect.BY_KEY, Effect.REPEATABLE


def play(effect, endings, deadline=10 * SECOND, remembered=5 * SECOND, budget=None):
    """What becomes of a call whose tries end so: how many went out, and its status or error."""
    now, tries = NOW, 0
    plan = Plan(effect, now + deadline, budget or Budget(), Random(1), now, remembered)
    for _ in range(50):
        step = plan.next(now)
        if type(step) is Wait:
            assert now < step.until <= plan.deadline
            now = step.until
        elif type(step) is Failed:
            assert step.error.tries == tries
            return tries, type(step.error), step.error
        else:
            assert step.number == tries and step.left == plan.deadline - now
            ending = endings[min(tries, len(endings) - 1)]
            tries += 1
            now += 5 * MS
            if isinstance(ending, Ending):
                plan.ended(now, ending)
            elif plan.answered(now, *(ending if isinstance(ending, tuple) else (ending,))):
                return tries, 200, None
    raise AssertionError("the plan does not end")


LOST, UNSENT = Ending.LOST, Ending.UNSENT


@pytest.mark.parametrize(
    "effect, endings, tries, end",
    [
        (FREE, [200], 1, 200), (ONCE, [200], 1, 200),
        # What never ran is tried again, whatever its effect.
        (ONCE, [503, 200], 2, 200), (ONCE, [429, 200], 2, 200), (ONCE, [UNSENT, 200], 2, 200),
        (ONCE, [UNSENT], MOST_TRIES, NeverRan), (ONCE, [503], MOST_TRIES, NeverRan),
        # What may have run is not, unless it may run again.
        (ONCE, [LOST], 1, MayHaveRun), (ONCE, [503, LOST, 200], 2, MayHaveRun), (ONCE, [502], 1, MayHaveRun),
        (ONCE, [500], 1, MayHaveRun), (FREE, [LOST, 200], 2, 200), (FREE, [502, LOST, 200], 3, 200),
        (KEYED, [LOST, 200], 2, 200), (KEYED, [LOST, LOST, 200], 3, 200),
        # A write whose first answer was lost, and which is then refused: it may have run all the same.
        (ONCE, [UNSENT, LOST, 503], 2, MayHaveRun), (KEYED, [LOST, 503], MOST_TRIES, MayHaveRun),
        # What is wrong in itself is not tried again; after a try that may have run, that comes first.
        (FREE, [404, 200], 1, Faulty), (FREE, [503, 400], 2, Faulty), (KEYED, [LOST, 409], 2, MayHaveRun),
    ],
)  # fmt: skip
def test_what_a_call_ends_with(effect, endings, tries, end):
    assert play(effect, endings)[:2] == (tries, end)


def test_a_receipt_that_is_forgotten_is_no_leave_to_send_again():
    assert play(KEYED, [LOST, 200], remembered=20 * MS)[:2] == (1, MayHaveRun)
    assert play(KEYED, [LOST, 200], remembered=0)[:2] == (1, MayHaveRun)


@pytest.mark.parametrize(
    "text, wait",
    [(None, 0), ("0.25", 250 * MS), ("2", 2 * SECOND), ("-3", 0), ("nan", 0), ("inf", MOST_WAIT), ("-inf", 0),
     ("1e300", MOST_WAIT), ("soon", 0), ("", 0), ("Wed, 21 Oct 2015 07:28:00 GMT", 0), ("0x10", 0)],
)  # fmt: skip
def test_waits_are_taken_within_the_clients_own_bounds(text, wait):
    assert advised(text) == wait


def test_a_refusals_wait_is_honoured_and_given_up_at_once_when_it_is_beyond_the_deadline():
    plan = Plan(ONCE, NOW + 10 * SECOND, Budget(), Random(1), NOW)
    assert type(plan.next(NOW)) is Try
    assert not plan.answered(NOW, 503, "1.5")
    step = plan.next(NOW)
    assert type(step) is Wait and NOW + 1.5 * SECOND <= step.until < NOW + 1.7 * SECOND
    tries, kind, error = play(ONCE, [(503, "9")], deadline=2 * SECOND)
    assert (tries, kind) == (1, RefusedUntil) and 8.9 < error.wait <= 10


def test_a_refusal_that_comes_during_a_reconnect_waits_for_the_longer_of_the_two():
    plan = Plan(FREE, NOW + 10 * SECOND, Budget(), Random(1), NOW)
    assert type(plan.next(NOW)) is Try
    plan.put_off(NOW + SECOND)  # no balancer may be connected to until then
    assert plan.next(NOW) == Wait(NOW + SECOND) and plan.tries == 0
    now = NOW + SECOND
    assert plan.next(now).number == 0
    plan.answered(now, 503, "1.0")  # refused on the new connection
    told = plan.next(now).until
    assert told >= now + SECOND
    assert plan.next(told).number == 1
    plan.put_off(told - 1)  # less than the wait that is over: nothing more to wait for
    assert plan.next(told).number == 1
    plan.put_off(told + 3 * SECOND)
    assert plan.next(told) == Wait(told + 3 * SECOND) and plan.tries == 1


@pytest.mark.parametrize("jump", [-3600 * SECOND, -1, 3600 * SECOND])
def test_a_clock_that_jumps_puts_no_deadline_off(jump):
    plan = Plan(FREE, NOW + SECOND, Budget(), Random(1), NOW)
    assert type(plan.next(NOW + 100 * MS)) is Try
    plan.ended(NOW + 200 * MS + jump, LOST)
    step = plan.next(NOW + 200 * MS + jump)
    if jump < 0:
        assert type(step) is Wait and step.until <= plan.deadline
        assert plan.next(NOW + 300 * MS).left <= SECOND - 300 * MS
    else:
        assert type(step) is Failed  # its time is over
    times = iter([5, 9, 3, 4, 12])
    clock = Steady(lambda: next(times))
    assert [clock() for _ in range(4)] == [9, 9, 9, 12]


def test_retries_have_a_budget_over_all_calls():
    budget, sent = Budget(), 0
    for _ in range(200):
        sent += play(FREE, [503], budget=budget)[0]
    assert sent <= 200 * 1.2 + 10
    for _ in range(60):
        play(FREE, [200], budget=budget)
    assert play(FREE, [503, 200], budget=budget)[:2] == (2, 200)  # saved up again


def test_a_deadline_that_is_over_sends_nothing():
    assert play(FREE, [200], deadline=0)[:2] == (0, Deadline)
    assert play(FREE, [200], deadline=-5 * SECOND)[:2] == (0, Deadline)


def test_reconnects_of_many_clients_spread_and_spread_more_when_they_fail():
    def times(failures):
        found = []
        for seed in range(500):
            places = Places([("127.0.0.1", 1)], Random(seed))
            for _ in range(failures):
                places.broke(places.all[0], NOW)
            place, when = places.choose(NOW)
            assert place is None or when == NOW
            found.append(when - NOW)
        return sorted(found)

    once, thrice = times(1), times(3)
    assert once[475] - once[25] >= 2 * SECOND and max(once[i + 25] - once[i] for i in range(475)) < SECOND
    assert thrice[250] > 2 * once[250] and thrice[-1] <= 30 * SECOND


def test_another_balancer_is_chosen_before_one_that_was_tried_and_none_that_broke():
    places = Places([("127.0.0.1", port) for port in (1, 2, 3)], Random(1))
    first, second, third = places.all
    assert {places.choose(NOW, [first])[0] for _ in range(30)} == {second, third}
    places.broke(second, NOW)
    second.not_before = NOW + SECOND
    assert {places.choose(NOW, [first])[0] for _ in range(30)} == {third}
    assert {places.choose(NOW, [first, third])[0] for _ in range(30)} == {first, third}
    assert second in {places.choose(NOW + SECOND, [first, third])[0] for _ in range(30)}


# The wire, against a peer in a thread that does as it is told with each connection.


class Peer:
    """Answers each request with the next word of its script."""

    def __init__(self, *script):
        self.script, self.requests, self.connections = list(script), [], 0
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address, self.lock = self.sock.getsockname(), threading.Lock()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._talk, args=(sock,), daemon=True).start()

    def _talk(self, sock):
        with sock:
            while True:
                data = b""
                while b"\r\n\r\n" not in data:
                    piece = sock.recv(65536)
                    if not piece:
                        return
                    data += piece
                head = data.partition(b"\r\n\r\n")[0].decode()
                with self.lock:
                    self.requests.append(head)
                    word = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                if word == "close":
                    return
                if word == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    return
                if word == "silent":
                    sleep(3)
                    return
                sock.sendall(word)
                if b"close" in word:
                    return

    def headers(self, name):
        lines = [line.partition(": ")[2] for head in self.requests for line in head.split("\r\n")
                 if line.lower().startswith(name.lower() + ":")]  # fmt: skip
        return lines

    def close(self):
        self.sock.close()


def said(status, body=b"v", *more):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *more, "", ""]
    return "\r\n".join(lines).encode() + body


OK = said(200)


@pytest.fixture
def peer():
    made = []

    def make(*script):
        made.append(Peer(*script))
        return made[-1]

    yield make
    for one in made:
        one.close()


def client(*peers, **more):
    return Client([one.address for one in peers], "acme", seed=1, **more)


def test_a_retry_is_marked_has_an_id_of_its_own_and_the_same_receipt(peer):
    one = peer("close", said(503, b"", "Retry-After: 0.05"), OK)
    with client(one) as c:
        answer = c.put("note", "k/1", b"v", 20.0, Effect.BY_KEY, remembered=60)
    assert answer.status == 200 and answer.body == b"v" and answer.tries == 3
    assert len(set(one.headers("X-Trace-Id"))) == 3 and len(set(one.headers("Idempotency-Key"))) == 1
    assert one.headers("X-Second-Try") == ["1", "1"] and len(one.headers("Idempotency-Key")) == 3
    left = [float(text) for text in one.headers("X-Expires-In")]
    assert left == sorted(left, reverse=True) and left[0] <= 20
    assert all(head.startswith("PUT /note/k%2F1 HTTP/1.1") for head in one.requests)


@pytest.mark.parametrize("word", ["close", "reset",
                                  b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf close",
                                  b"nonsense\r\n\r\nclose", said(502)])  # fmt: skip
def test_a_write_that_may_have_run_is_sent_once(peer, word):
    one = peer(word, OK)
    with client(one) as c, pytest.raises(MayHaveRun) as told:
        c.put("once", "k", b"v", 8.0)
    assert len(one.requests) == 1 and told.value.may_have_run and told.value.tries == 1


def test_silence_ends_at_the_deadline_and_no_later(peer):
    one, began = peer("silent"), monotonic()
    with client(one) as c, pytest.raises(MayHaveRun):
        c.get("read", "k", 0.4)
    assert 0.35 < monotonic() - began < 1.0


def test_a_balancer_that_is_not_there_is_left_for_another_and_nothing_was_run(peer):
    gone = peer(OK)
    gone.close()
    there = peer(OK)
    with client(gone, there) as c:
        assert all(c.put("once", "k", b"v", 5.0).status == 200 for _ in range(20))
    with client(gone) as c, pytest.raises(NeverRan):
        c.put("once", "k", b"v", 0.5)


def test_a_wait_that_a_balancer_advised_before_it_died_is_kept_at_the_next_one(peer):
    dies, lives = peer(said(503, b"", "Retry-After: 0.6", "Connection: close")), peer(OK)
    with client(dies, lives) as c:
        c.places.all[1].not_before = c.clock() + SECOND // 10  # so that the first is asked first
        began = monotonic()
        threading.Timer(0.1, dies.close).start()
        answer = c.get("read", "k", 5.0)
    assert answer.status == 200 and 0.55 < monotonic() - began < 2.5


def test_idle_connections_are_closed_before_the_balancer_would(peer):
    one = peer(OK)
    with client(one, idle=0.2) as c:
        for pause in (0, 0.05, 0.4, 0):
            sleep(pause)
            assert c.get("read", "k").status == 200
    assert one.connections == 2


def test_a_connection_that_the_balancer_has_closed_meanwhile_is_not_used_for_a_write(peer):
    one = peer(said(200, b"v", "X: close"), OK)
    with client(one) as c:
        c.get("read", "k")
        sleep(0.1)  # closed by the peer, which said nothing of it
        assert c.put("once", "k", b"v", 5.0).status == 200
    assert one.connections == 2 and len(one.requests) == 2


def test_the_pool_is_bounded_for_all_threads(peer):
    one, open_now, most = peer(OK), [0], [0]
    with client(one, connections=3) as c:
        before = c.pool.take

        def take(place, deadline):
            found = before(place, deadline)
            with c.lock:
                most[0] = max(most[0], c.pool.out)
            return found

        c.pool.take = take
        done = []
        ask = lambda: done.append(c.get("read", "k", 5.0).status)  # noqa: E731
        threads = [threading.Thread(target=ask) for _ in range(30)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert done == [200] * 30 and most[0] <= 3 and one.connections <= 3 and open_now == [0]
    with pytest.raises(RuntimeError):
        c.get("read", "k")


@pytest.mark.parametrize("bad", [0, -1, float("nan"), inf, 1e9])
def test_a_deadline_that_is_none_is_refused(peer, bad):
    with client(peer(OK)) as c, pytest.raises(ValueError, match="deadline"):
        c.get("read", "k", bad)


@pytest.mark.parametrize("more", [{"connections": 0}, {"idle": 0}, {"idle": float("nan")}])
def test_a_client_that_cannot_be_made_says_why(more):
    with pytest.raises(ValueError):
        Client([("127.0.0.1", 1)], "acme", **more)
    with pytest.raises(ValueError, match="addresses"):
        Client([], "acme")


def test_five_hundred_clients_come_back_over_two_seconds_after_a_restart_and_no_write_runs_twice():
    """Real balancer, stand-in hosts, loopback. Each client has a connection; the balancer is killed while
    half of them write, and is back after half a second."""
    tree = {
        "fleet": {"balancers": 1, "caches": 2}, "cache": {"service": "1 ms", "cores": 16, "law": "fixed"},
        "origin": {"service": "1 ms", "cores": 64, "queue": 2000, "law": "fixed"},
        "load": {"rate": "1000/s", "lasts": "30 s", "keys": 10},
        "track": [{"name": "read", "part": "50%", "promised": "1 s"},
                  {"name": "once", "part": "50%", "promised": "1 s", "effect": "once", "write": True}],
    }  # fmt: skip
    many, back, ended, lock = 500, [], [], threading.Lock()
    start, killed = threading.Event(), [0.0]
    with Rig(scenario.read(tree), 1) as rig:
        balancer = rig.balancers[0]
        one_each = {"connections": 1, "idle": 60}
        clients = [Client([balancer.place], "load", seed=seed, **one_each) for seed in range(many)]

        def live(number, one):
            try:
                one.get("read", "k1", 20.0)
                start.wait()
                if number % 2:
                    try:
                        one.put("once", f"w{number}", b"v", 20.0)
                        word = "handled"
                    except MayHaveRun:
                        word = "may have run"
                    except NeverRan:
                        word = "never ran"
                    with lock:
                        ended.append((number, word))
                while killed[0] == 0 or monotonic() < killed[0] + 0.05:
                    sleep(0.02)
                one.get("read", "k1", 25.0)
                with lock:
                    back.append(monotonic() - killed[0])
            except NeverRan:
                pass
            finally:
                one.close()

        threads = [threading.Thread(target=live, args=pair) for pair in enumerate(clients)]
        for thread in threads:
            thread.start()
        ends = monotonic() + 60
        while sum(bool(one.pool.idle) for one in clients) < many and monotonic() < ends:
            rig.loop.round(0.01)
        start.set()
        while len(ended) < 20 and monotonic() < ends:
            rig.loop.round(0.001)
        balancer.kill()
        killed[0] = monotonic()
        while any(thread.is_alive() for thread in threads) and monotonic() < ends:
            rig.loop.round(0.01)
        for _ in range(20):
            rig.loop.round(0.01)
        written = dict(rig.written)
    back.sort()
    assert len(back) >= 0.95 * many
    assert back[int(0.95 * len(back))] - back[int(0.05 * len(back))] >= 2.0
    assert len(ended) == many // 2 and max(written.values()) == 1
    for number, word in ended:
        ran = written.get(f"kw{number}", written.get(f"w{number}", 0))
        assert ran == 1 if word == "handled" else ran == 0 if word == "never ran" else ran <= 1
