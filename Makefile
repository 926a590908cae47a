# build makes the run-time environment, test and lint the test environment; run and websocket start a controller.
PYTHON ?= python3
CONFIG ?= config.json
WEBSOCKET ?= deploy/websocket.toml
TOOLS = .venv-test/bin

.PHONY: build test lint run websocket clean

build: .venv/bin/python

.venv/bin/python: requirements.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt

$(TOOLS)/pytest: requirements.txt requirements-test.txt
	$(PYTHON) -m venv .venv-test
	$(TOOLS)/pip -q install -r requirements-test.txt

test: $(TOOLS)/pytest
	$(TOOLS)/python -m pytest -q

lint: $(TOOLS)/pytest
	$(TOOLS)/ruff check .
	$(TOOLS)/ruff format --check .
	$(TOOLS)/mypy

run: build
	.venv/bin/python -m mintvalve --config $(CONFIG)

websocket: build
	.venv/bin/python -m mintvalve --config $(CONFIG) --websocket $(WEBSOCKET)

clean:
	rm -rf .venv .venv-test .pytest_cache .mypy_cache .ruff_cache .hypothesis
