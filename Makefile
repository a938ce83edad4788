# Each target works on a fresh checkout; both environments are made anew when their requirements change.

.PHONY: build test lint run clean

build: .venv/ready

# The same steps as `build` in deploy/balancer.toml.
.venv/ready: requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt $@

.venv-dev/ready: requirements.txt requirements-dev.txt
	python3 -m venv --clear .venv-dev
	.venv-dev/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

test: .venv-dev/ready
	.venv-dev/bin/pytest -q

lint: .venv-dev/ready
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check hopsail

# NODE_CONFIG=file make run
run: .venv/ready
	.venv/bin/python -m hopsail

clean:
	rm -rf .venv .venv-dev .pytest_cache .ruff_cache
