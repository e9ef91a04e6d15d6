VENV ?= .venv
PYTHON = $(VENV)/bin/python
PINNED = $(wildcard requirements*.txt)
TOOLS = ruff==0.14.6 mypy==1.18.2 pytest==8.4.2 pytest-xdist==3.8.0 hypothesis==6.148.1
WORKERS ?= 4

.PHONY: build test lint run trial sites clean

build: $(VENV)/built

$(VENV)/built: $(PINNED) pyproject.toml Makefile
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip -q install --disable-pip-version-check $(addprefix -r ,$(PINNED)) $(TOOLS)
	$(PYTHON) -m pip -q install --disable-pip-version-check --no-deps -e .
	touch $@

test: build
	$(PYTHON) -m pytest -q -n $(WORKERS) --dist loadfile

lint: build
	$(VENV)/bin/ruff format --check gaugesail tests
	$(VENV)/bin/ruff check gaugesail tests
	$(VENV)/bin/mypy

run: build
	exec $(PYTHON) -m gaugesail

trial: build
	$(VENV)/bin/gaugesail trial budgets --heads 3 --seconds 20 --timeline deploy/trials/newcomer.toml

# What the benches read beside a site file, laid beside our own; never committed.
sites:
	cp ../given/kit/sites/real.json ../given/kit/sites/wire.json ../given/kit/sites/unlock.txt deploy/sites/

clean:
	rm -rf .venv .ci/venv .mypy_cache .ruff_cache .pytest_cache
