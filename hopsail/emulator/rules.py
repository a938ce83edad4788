"""The four rules, judged from the trace of a run alone: no checker asks the module what it believes."""

from collections import defaultdict, deque

from ..model import NEVER_RAN, SECOND

NEVER = {outcome.name for outcome in NEVER_RAN}
ORIGIN_COLD = 0.3  # of what an origin was sent before it fell: from there on cold caches' misses are to blame
COUNTED = 3 * SECOND  # before its fall
CHANCE = 5  # reads in a window, beside the bound


def lost(trace, rules):
    """Rule 1: one final answer by the hard limit, nothing sent after it. The dead answer nothing."""
    ends, done, dead, found = {}, set(), set(), []
    holder = defaultdict(set)
    for what, at, *rest in trace:
        if what == "taken":
            node, request, limit, _ = rest
            ends[request] = limit
            holder[node].add(request)
        elif what == "died":
            dead |= holder.pop(rest[0], set())
        elif what == "left":
            done.add(rest[1])  # nobody waits for an answer, and nothing more may be sent
            holder[rest[0]].discard(rest[1])
        elif what == "sent" and rest[1] in done:
            found.append((at, f"request {rest[1]} was sent on after its answer"))
        elif what == "answered":
            node, request, word = rest
            if request in done:
                found.append((at, f"request {request} was answered twice"))
            elif at > ends[request] + rules.slack:
                found.append((at, f"request {request} was answered late ({word})"))
            done.add(request)
            holder[node].discard(request)
    last = trace[-1][1] if trace else 0
    found += [
        (limit, f"request {request} was never answered")
        for request, limit in ends.items()
        if request not in done and request not in dead and limit + rules.slack < last
    ]
    return found


def twice(trace, rules, effects=("once",)):
    """Rule 2: what must not run twice goes out again only when no earlier leg can have run."""
    effect, legs, runs, found = {}, defaultdict(dict), defaultdict(int), []
    for what, at, *rest in trace:
        if what == "taken":
            effect[rest[1]] = rest[3]
        elif what == "sent" and effect[rest[1]] in effects:
            request, leg = rest[1], rest[2]
            if any(outcome not in NEVER for outcome in legs[request].values()):
                found.append((at, f"request {request} was sent again, though it may have run"))
            legs[request][leg] = "OUT"
        elif what == "ended" and effect[rest[1]] in effects:
            legs[rest[1]][rest[2]] = rest[3]
        elif what == "ran" and effect[rest[0]] in effects:
            runs[rest[0]] += 1
            if runs[rest[0]] == 2:
                found.append((at, f"request {rest[0]} has run twice"))
    return found


def drained(trace, rules):
    """Rule 3: nothing new to a host that drains or is gone, a grace after this balancer was told."""
    since, known, found = {}, {}, []
    for what, at, *rest in trace:
        if what == "told":
            node, host, state, _ = rest
            if state == "READY":
                since.pop((node, host), None)
            else:
                since.setdefault((node, host), at)
        elif what == "whole":
            node, names = rest  # a host that a whole list lacks is gone
            known[node] = known.get(node, set()) | names
            for host in known[node] - names:
                since.setdefault((node, host), at)
        elif what == "died":
            since = {key: when for key, when in since.items() if key[0] != rest[0]}
        elif what == "sent":
            node, request, _, host = rest
            if at > since.get((node, host), at) + rules.grace:
                found.append((at, f"request {request} went to host {host}, which {node} knew to drain"))
    return found


def flooded(trace, rules, cache):
    """Rule 4: no cold cache is sent more than the stated multiple of what it can do in any window, nor does
    the origin fall over while much of what it was sent are misses at cold caches."""
    started, reads, fetches, found, blamed = {}, defaultdict(deque), defaultdict(deque), [], set()
    full = cache.cores * rules.window / cache.service  # reads of a warm cache in a window
    for what, at, *rest in trace:
        if what == "told" and rest[3]:
            started[rest[1]] = max(rest[3], started.get(rest[1], 0))
        elif what == "reached":
            host, _, cold = rest
            fetches[host].append((at, cold))
            while fetches[host][0][0] < at - COUNTED:
                fetches[host].popleft()
            begun = started.get(host)
            if not begun or at > begun + rules.warm or host in blamed:
                continue
            reads[host].append(at)
            while reads[host][0] < at - rules.window:
                reads[host].popleft()
            warm = rules.start + (1 - rules.start) * (at - begun) / rules.warm
            if len(reads[host]) > rules.multiple * warm * full + CHANCE:
                blamed.add(host)
                found.append((at, f"cold host {host} was sent {len(reads[host])} reads in a window"))
        elif what == "fell":
            cold = [cold for _, cold in fetches[rest[0]]]
            if cold and sum(cold) > ORIGIN_COLD * len(cold):
                found.append((at, f"the origin fell over: {sum(cold)} of {len(cold)} were cold misses"))
    return found


def check(trace, scenario):
    """What each rule finds: a list of (when, what) by the rule's name."""
    rules = scenario.rules
    steps = [event for event in trace if event[0] != "told"]  # of a large fleet's trace, most are lists
    return {
        "lost": lost(steps, rules),
        "twice": twice(steps, rules),
        "drained": drained(trace, rules),
        "flooded": flooded(trace, rules, scenario.cache),
    }
