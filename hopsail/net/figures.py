"""What operators read off a balancer: one owner for the counts by class, and their text form.

The names are the operators' own. Every class has every status from the start, at 0, so that a rate over them
has no gap. A library was measured for the form: prometheus_client takes 12 MB, as much as all the process."""

STATUSES = ("fulfilled", "throttled", "faulted", "relayed")
OF_ANSWERS = {"handled": "fulfilled", "bounced": "throttled", "scrapped": "faulted"}
ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class Figures:
    def __init__(self, tracks):
        self.names = {
            index: name.decode(errors="replace").translate(ESCAPES) for name, index in tracks.items()
        }
        self.counts = {(index, status): 0 for index in self.names for status in STATUSES}

    def answered(self, track, word):
        """A request of a class has had its final answer: handled, bounced or scrapped."""
        self.counts[track, OF_ANSWERS[word]] += 1

    def relayed(self, track):
        """An attempt has been written whole to a host; one written a second time counts again."""
        self.counts[track, "relayed"] += 1

    def text(self, **now):
        """One figure a line; `now` are those that tell of this moment."""
        lines = [
            f'app_operations{{priority="{self.names[track]}",status="{status}"}} {count}'
            for (track, status), count in self.counts.items()
        ]
        lines.append(f"app_relayed {sum(self.counts[track, 'relayed'] for track in self.names)}")
        return "\n".join(lines + [f"app_{name} {value}" for name, value in now.items()]) + "\n"
