PYTHON ?= python3
VENV ?= .venv
EXAMPLE ?= caroni
SEED ?= 1
SECONDS_ ?= 60
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo test lint types format bench binary generate soak clean

install: $(STAMP)

ifeq ($(VENV),.venv)
$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check \
		-r requirements-dev.txt
	touch $(STAMP)
endif

demo: install
	$(BIN)/python -m wigeonhatch.standins.demo $(EXAMPLE)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 wigeonhatch tests benchmarks

types: install
	$(BIN)/mypy wigeonhatch benchmarks

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: lint types
	$(BIN)/python -m pytest

bench: install
	$(BIN)/python -m benchmarks

soak: install
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS_) $(BIN)/python -m tests.soak

binary: install
	$(BIN)/python -m shiv -q -c wigeonhatch -o dist/wigeonhatch \
		--compressed .

generate: install
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc \
		-I . --python_out=. \
		--pyi_out=. --grpclib_python_out=. wigeonhatch/peers/peers.proto

clean:
	rm -rf build dist
