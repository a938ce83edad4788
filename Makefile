# Each target works on a fresh checkout; each environment is made anew when its requirements change.

.PHONY: build try system versions soak test lint run clean

build: .venv/ready

# The same steps as `build` in deploy/balancer.toml.
.venv/ready: requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt $@

.venv-dev/ready: requirements.txt requirements-try.txt requirements-tools.txt requirements-client.txt requirements-dev.txt requirements-system.txt
	python3 -m venv --clear .venv-dev
	.venv-dev/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

# A fleet to look at, on loopback: SECONDS_TO_RUN=10 make try, or as long as the scenario says.
.venv-try/ready: requirements.txt requirements-try.txt
	python3 -m venv --clear .venv-try
	.venv-try/bin/pip -q install -r requirements-try.txt
	cp requirements-try.txt $@

try: .venv-try/ready
	.venv-try/bin/python -B -m hopsail.cli try $(if $(SECONDS_TO_RUN),--seconds $(SECONDS_TO_RUN))

# The router fleet on loopback, with a verdict: SECONDS_TO_RUN=10 make system has ten seconds of load and ends within
# half a minute more.
.venv-system/ready: requirements.txt requirements-system.txt
	python3 -m venv --clear .venv-system
	.venv-system/bin/pip -q install -r requirements-system.txt
	cp requirements-system.txt $@

system: .venv-system/ready
	$(if $(SECONDS_TO_RUN),timeout -s INT $$(($(SECONDS_TO_RUN) + 30))) .venv-system/bin/python -B -m hopsail.standins.fleet $(if $(SECONDS_TO_RUN),--seconds $(SECONDS_TO_RUN))

# Two versions of the programs in one fleet: EARLIER=revision make versions.
versions: .venv-system/ready
	rm -rf target/earlier && mkdir -p target/earlier
	git archive $(EARLIER) hopsail | tar -x -C target/earlier
	.venv-system/bin/python -B -m hopsail.standins.two_versions target/earlier

# A soak of the router fleet: SEED=n SECONDS_TO_RUN=n PROCESSES=n make soak. See docs/soak.md.
soak: .venv-system/ready
	.venv-system/bin/python -B -m hopsail.soak $(if $(SEED),--seed $(SEED)) $(if $(SECONDS_TO_RUN),--seconds $(SECONDS_TO_RUN)) $(if $(PROCESSES),--processes $(PROCESSES))

test: .venv-dev/ready
	.venv-dev/bin/pytest -q

lint: .venv-dev/ready
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/mypy

# NODE_CONFIG=file make run
run: .venv/ready
	.venv/bin/python -m hopsail

clean:
	rm -rf .venv .venv-try .venv-system .venv-dev .pytest_cache .ruff_cache .mypy_cache
