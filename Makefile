PYTHON ?= python3
VENV ?= .venv
EXAMPLE ?= caroni
SEED ?= 1
SECONDS_ ?= 60
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := $(shell find wigeonhatch -name '*.py')

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

test: lint types binary
	$(BIN)/python -m pytest

bench: install
	$(BIN)/python -m benchmarks

soak: install
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS_) $(BIN)/python -m tests.soak

binary: dist/wigeonhatch

# The zip application unpacks once below SHIV_ROOT, which has to be a file
# system in memory on hosts without disks.
dist/wigeonhatch: $(STAMP) requirements.txt $(SOURCES)
	rm -rf build/site
	mkdir -p build dist
	test -d build/libraries || $(BIN)/python -m pip install -q \
		--disable-pip-version-check --target build/libraries \
		-r requirements.txt
	cp -r build/libraries build/site
	cp -r wigeonhatch build/site/
	$(BIN)/shiv -e wigeonhatch.cli:main -o dist/wigeonhatch \
		--site-packages build/site --root /tmp/wigeonhatch \
		-p '/usr/bin/env python3'

generate: install
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc \
		-I . --python_out=. \
		--pyi_out=. --grpclib_python_out=. wigeonhatch/peers/peers.proto

clean:
	rm -rf build dist
