# `make demo` and `make test` create the virtual environment if needed.
PY := .venv/bin/python
SOURCES := src stand_ins bench tests examples deploy

# Timing-sensitive tests run after the others, three at a time.
BESIDE_OTHERS := -n auto --dist loadgroup -m "not timed"
BY_THEMSELVES := -n 3 --dist loadgroup -m timed

.PHONY: demo test quick lint format setup clean

setup: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	python3 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

demo: setup
	$(PY) -m bench demo

test: lint
	$(PY) -m pytest $(BESIDE_OTHERS)
	$(PY) -m pytest $(BY_THEMSELVES)

# Formatter, linter, and the tests that need no processes, sockets or waiting.
quick: setup
	$(PY) -m black --check --quiet $(SOURCES)
	$(PY) -m ruff check --quiet $(SOURCES)
	$(PY) -m pytest -n auto --dist loadgroup -m quick

lint: setup
	$(PY) -m black --check --quiet $(SOURCES)
	$(PY) -m ruff check --quiet $(SOURCES)
	$(PY) -m bench.layers
	$(PY) -m mypy --no-error-summary src/merlinthread/coordination src/merlinthread/state

format: setup
	$(PY) -m black --quiet $(SOURCES)
	$(PY) -m ruff check --fix --quiet $(SOURCES)

clean:
	rm -rf .venv run
