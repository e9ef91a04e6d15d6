PYTHON = .venv/bin/python
TOOLS = ruff==0.14.6 mypy==1.18.2 pytest==8.4.2 hypothesis==6.148.1

.PHONY: build test lint run clean

build: .venv/built

.venv/built: requirements.txt
	test -d .venv || python3 -m venv .venv
	$(PYTHON) -m pip -q install --disable-pip-version-check -r requirements.txt $(TOOLS)
	touch $@

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check marllift gaugesail tests
	.venv/bin/mypy

run: build
	exec $(PYTHON) -m gaugesail

clean:
	rm -rf .venv .ci/venv .mypy_cache .ruff_cache .pytest_cache
