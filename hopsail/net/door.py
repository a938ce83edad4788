"""The door between sockets and the decision module: events go in, the module's actions are carried out.

It alone knows names, paths and statuses; it chooses no host, no further leg and no limit."""

import re
from urllib.parse import unquote_to_bytes

from ..decide import Balancer
from ..model import MS, SECOND, Bounce, Close, Outcome, Retrieval, Scope, Scrap, Send, State
from ..model import Subscribe, WakeAt
from ..standing import Membership, number
from .discovery import Discovery
from .figures import Figures
from .flow import Flows
from .hosts import Pool
from .log import fault
from .messages import Answer
from .report import read as read_report

HEALTH = b"/healthz"
GRACE = 400 * MS  # past its time an answer still ends; half a second past it, it is lost
LONGEST = 600  # seconds: a client's limit beyond it is cut
LIMIT = re.compile(rb"\d{1,9}(\.\d{1,9})?")  # seconds; float() would take "nan", "inf" and "1_0" too
MARKS = {None: False, b"0": False, b"1": True}  # of a further try; how often is not for clients to say
METHODS = {b"GET": False, b"PUT": True}


def span(text):
    """The ns that a header's seconds stand for, None when they cannot be read."""
    return int(min(float(text), LONGEST) * 1e9) if LIMIT.fullmatch(text) else None


class Refusal(Exception):
    """A request that cannot become a retrieval; `answer` says why."""

    def __init__(self, status, text, track=None):
        super().__init__(text)
        self.track = track  # number of its class, where it has one
        self.answer = Answer(status, text + b"\n", b"text/plain")


class Exchange:
    """A retrieval's way back: the client's connection until it is answered or left, and its request."""

    __slots__ = ("client", "request", "track", "lasts")

    def __init__(self, client, request, track, lasts):
        self.client, self.request, self.track = client, request, track
        self.lasts = lasts  # ns that it has once the last byte of its request has come


class Door:
    def __init__(self, loop, counters, config, ids):
        self.loop, self.counters, self.config = loop, counters, config
        self.ids = ids
        self.open = 0  # retrievals with no final answer yet
        self.ends = None  # when all must be answered, once the process is to end
        self.drained = False  # operators want no clients here
        self.members = Membership(config.settings.only_drains)
        self.figures = Figures(config.tracks)
        self.flows = Flows(config.flow_bytes)
        self.pool = Pool(loop, counters, config, self.flows, self.leg_ended, self.leg_written)
        version, _, entries = config.known
        self.discovery = Discovery(loop, counters, config.discovery, config.names, version, self.listed)
        self.balancer = Balancer(config.settings, config.seed, loop.now())
        self.listed(Scope.WHOLE, entries)
        if not config.settings.subscribe:
            self.discovery.ask()  # the bench tells such an instance unasked; here nobody calls on it

    def configure(self, config):
        """A new configuration: the limits hold for what comes from now on."""
        self.config = config
        self.flows.budget = config.flow_bytes
        self.pool.configure(config)
        self.discovery.move(config.discovery)

    def ready(self):
        """Whether there is somebody to send to: with all cache hosts out by hand, the origin serves alone."""
        by_hand = self.members.out and self.balancer.origin is not None
        return self.ends is None and bool(self.balancer.caches or by_hand)

    def out_of_rotation(self):
        """Listed cache hosts that get nothing now: out by hand, or set aside by the module."""
        caches = [host for host in self.balancer.hosts.values() if host.is_cache and not host.dropped]
        return sum(host.name in self.members.out or host.back_at > 0 for host in caches)

    def connected(self):
        """A client has opened a connection."""
        if self.balancer.storms:
            self.balancer.storms.connected(self.loop.now())

    def use_quota_share(self, share):
        """This balancer's share of what all balancers share is another from now on."""
        from ..swim.quota_leases import apply_quota_share  # only who has peers comes here

        apply_quota_share(self.balancer, self.loop.now(), share)

    def storm(self):
        """What storm control sees, as operators' figures; nothing where it is off."""
        storms, now = self.balancer.storms, self.loop.now()
        if not storms:
            return {}
        figures = {f"storm_{name}": count for name, count in storms.counts.items()}
        return {
            "storm_state": storms.state(now).value,
            "storm_backlog": round(storms.backlog(now), 1),
        } | figures

    def listed_caches(self):
        return sum(host.is_cache and not host.dropped for host in self.balancer.hosts.values())

    def asked(self, client, request):
        """A whole request has come on a client's connection, which is owed one answer."""
        try:
            if request.target == HEALTH:
                self.counters.add("taken.health")
                client.answer(Answer(200 if self.ready() and not self.drained else 503))
                return
            retrieval = self._retrieval(client, request)
        except Refusal as refusal:
            self.counters.add("taken.malformed")
            if refusal.track is not None:
                self.figures.answered(refusal.track, "scrapped")
            client.answer(refusal.answer)
            return
        self.counters.add("taken.writes" if retrieval.write else "taken.reads")
        if self.open >= self.config.most_open or self.ends is not None and self.loop.now() >= self.ends - MS:
            # What is beyond the memory is turned away before the module, as the settings' own limit says; and
            # what comes so late that no answer could be waited for: an effect must not begin then.
            self._count(retrieval.mark, "bounced")
            client.answer(Answer(503))
            return
        self.open += 1
        client.retrieval = retrieval
        self._step(retrieval, self.balancer.arrived, self.loop.now(), retrieval)

    def _retrieval(self, client, request):
        write = METHODS.get(request.method)
        if write is None:
            raise Refusal(405, b"GET reads and PUT writes")
        track, _, key = request.target.partition(b"?")[0].strip(b"/").partition(b"/")
        index = self.config.tracks.get(unquote_to_bytes(track))
        if index is None:
            raise Refusal(404, b"no such track")
        if not request.trace or request.expires is None:
            raise Refusal(400, b"X-Trace-Id and X-Expires-In are needed", index)
        customer = self.config.customers.get(request.customer or b"", None if self.config.customers else 0)
        if customer is None:
            raise Refusal(400, b"no such customer", index)
        expires = span(request.expires)
        if not expires:
            raise Refusal(400, b"X-Expires-In must be a time that is left", index)
        if (again := MARKS.get(request.again) if self.balancer.storms else False) is None:
            raise Refusal(400, b"X-Second-Try is 1 on a further try, or left out", index)
        if not self.ids.new(request.trace, self.loop.now()):
            raise Refusal(409, b"X-Trace-Id has come before", index)
        # The time of a long request counts from its last byte, which is still to come.
        long = request.flow is not None
        ends = self.loop.now() + (LONGEST * SECOND if long and not request.flow.whole else expires)
        if self.ends is not None:
            ends = min(ends, self.ends)
        track, key = self.config.settings.tracks[index], number(key) if key else 0
        work = self._work(request)
        exchange = Exchange(client, request, index, expires)
        return Retrieval(exchange, track, key, ends, write, work, customer, again, long=long)

    def stop(self, clients, ends):
        """The process ends: what is in hand, or comes now, is answered by then."""
        self.ends = ends
        for client in clients:
            if client.passing is not None:
                self._cut_short(client, ends)  # one that never ends was to be cut when it is too late now
            if (retrieval := client.retrieval) is not None and retrieval.ends > ends:
                retrieval.ends = ends
                for leg in retrieval.legs:
                    self.pool.hasten(leg, ends)
                # What the module holds with no leg out was to be woken at an end that lies too late now.
                # Woken with the legs it waits for, it would be let go on, and sent, at the very end.
                retrieval.patience = min(retrieval.patience, ends - MS)
                if (hold := retrieval.hold) is not None:
                    self.loop.at(ends - MS, lambda hold=hold: self._woken(hold))

    def left(self, client):
        """The client closed its connection: nothing more is owed, and nothing more is sent."""
        retrieval = client.retrieval
        if retrieval is None:
            return
        self.counters.add("answered.left")
        self._forget(retrieval)
        self._step(retrieval, self.balancer.withdrawn, self.loop.now(), retrieval)
        for leg in list(retrieval.legs):
            self.pool.never_send(leg)
        self._settle(retrieval)

    def uploaded(self, client):
        """The last byte of a long request has come: its time runs."""
        if (retrieval := client.retrieval) is not None:
            retrieval.ends = min(self.loop.now() + retrieval.mark.lasts, self.ends or retrieval.ends)
            for leg in retrieval.legs:
                self.pool.hasten(leg, retrieval.ends)

    def leg_written(self, leg):
        self.figures.relayed(leg.retrieval.mark.track)
        if leg.retrieval.long:
            self.balancer.begun(self.loop.now(), leg)

    def passed_on(self, client, whole):
        """A long answer has gone out, or will never do so."""
        exchange, client.passing = client.passing, None
        self.open -= 1
        self._count(exchange, "handled" if whole else "scrapped")

    def leg_ended(self, leg, outcome, answer):
        retrieval, handled = leg.retrieval, outcome is Outcome.HANDLED
        retrieval.spent = retrieval.long and retrieval.mark.request.flow.spent
        self.counters.add("legs." + outcome.name.lower())
        report = self._report(answer)
        self._step(retrieval, self.balancer.leg_ended, self.loop.now(), leg, outcome, handled, report)
        if handled:
            self._answer(retrieval, Answer(200, answer.body, answer.kind, flow=answer.flow), "handled")
        if answer is not None and answer.flow is not None and answer.flow.sink is None:
            answer.flow.abandon()  # nobody is left to take it
        self._settle(retrieval)

    def _report(self, answer):
        columns = self.config.settings.columns
        if not columns or answer is None or answer.report is None:
            return None
        report = read_report(answer.report, columns)
        self.counters.add("reports.malformed" if report is None else "reports.taken")
        return report

    def _work(self, request):
        """The expected work, ns; a hint that cannot be read is none, and the retrieval goes on without it."""
        if request.work is None:
            return 0
        work = span(request.work)
        if work is None:
            self.counters.add("hints.malformed")
        return work or 0

    def listed(self, scope, entries):
        for listing, address in entries:
            if address is not None:
                self.pool.place(listing.name, address)
        self._list(scope, self.members.heard(scope, [listing for listing, _ in entries]))

    def adopt(self, standing):
        """What operators want from now on."""
        self.drained = standing.drained
        if changed := self.members.adopt(standing):
            self._list(Scope.CHANGES, changed)

    def _list(self, scope, entries):
        hosts = self.balancer.hosts
        for listing in entries:
            old = hosts.get(listing.name)
            if old is not None and old.started != listing.started:
                self.pool.close_idle(listing.name)  # connections from before a restart lead nowhere
        self._step(None, self.balancer.listed, self.loop.now(), scope, entries)
        for listing in entries:
            host = hosts.get(listing.name)
            if host is None or host.state is not State.READY:
                self.pool.call_off(listing.name)  # also what was decided before: nothing new goes there
        for name in [name for name in self.pool.addresses if name not in hosts]:
            self.pool.forget(name)

    def close(self):
        self.discovery.close()
        self.pool.close()

    def spare_connection(self):
        return self.pool.spare()

    def _step(self, retrieval, call, *args):
        """Tells the module what has happened and carries out what it decides."""
        try:
            call(*args)
        except Exception:
            # A fault in one retrieval's flow must not cost the others theirs; its client is told at once.
            fault()
            if retrieval is not None:
                retrieval.done = True
                self._answer(retrieval, Answer(500), "scrapped")
        actions, self.balancer.out = self.balancer.out, []
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action):
        kind = type(action)
        if kind is Send:
            self.counters.add("legs.sent")
            self.pool.send(action.leg, action.leg.retrieval.mark.request)
        elif kind is Bounce:
            self._answer(action.retrieval, Answer(503, wait=action.wait), "bounced")
            self._settle(action.retrieval)
        elif kind is Scrap:
            self._answer(action.retrieval, Answer(502), "scrapped")
            self._settle(action.retrieval)
        elif kind is WakeAt:
            self.loop.at(action.at, lambda: self._woken(action.token))
        elif kind is Close:
            self.pool.close_idle(action.host.name)
        elif kind is Subscribe:
            self.discovery.ask()

    def _woken(self, token):
        self._step(getattr(token, "retrieval", None), self.balancer.woken, self.loop.now(), token)

    def _answer(self, retrieval, answer, word):
        client = retrieval.mark.client
        if client is None:
            return
        self._forget(retrieval)
        if answer.flow is None:
            self._count(retrieval.mark, word)
        else:
            client.passing = retrieval.mark  # it is answered, and counted, once all has gone out
            self.open += 1
            ends = retrieval.ends + GRACE
            self._cut_short(client, min(ends, self.ends or ends))
        client.answer(answer)

    def _cut_short(self, client, at):
        exchange = client.passing
        self.loop.at(at, lambda: client.too_short(exchange))

    def _count(self, exchange, word):
        self.counters.add("answered." + word)
        self.figures.answered(exchange.track, word)

    def _forget(self, retrieval):
        retrieval.mark.client.retrieval = None
        retrieval.mark.client = None
        self.open -= 1

    def _settle(self, retrieval):
        """Lets go of a retrieval with nothing left to hear: it and its legs name each other, and collecting
        such rings would stop the loop."""
        if retrieval.done and all(leg.outcome is not None for leg in retrieval.legs):
            retrieval.legs, retrieval.flow = [], None
