# Everything a newcomer needs: `make demo` and `make test`.
PROGRAMS := quaylead quayctl quaystand quaybench

# The race detector needs a C compiler; without one the tests run without it.
RACE := $(if $(shell command -v gcc),-race)

.PHONY: build demo up test check generate experiments bench

build:
	@mkdir -p bin
	go build -o bin/ $(PROGRAMS:%=./cmd/%)

demo: build
	bin/quaybench demo

up: build
	bin/quaybench up

# Ratios of two variants run in turn.
bench:
	cd pkg && go test -run XXX -bench . -benchtime 2000x ./router ./endpoint

# Tests start real processes, built with the race detector too.
test:
	@mkdir -p bin/test
	go build $(RACE) -o bin/test/ $(PROGRAMS:%=./cmd/%)
	_scripts/test

# About a quarter of an hour: every experiment, and each with one queue.
experiments: build
	bin/quaybench experiments _fixtures/experiments/*.toml

check:
	_scripts/check

generate:
	_scripts/generate
