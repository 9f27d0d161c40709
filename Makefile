# Everything a newcomer needs: `make demo` and `make test`.
PROGRAMS := quaylead quayctl quaystand quaybench

# The race detector needs a C compiler; without one the tests run without it.
RACE := $(if $(shell command -v gcc),-race)

.PHONY: build demo test check generate

build:
	@mkdir -p bin
	go build -o bin/ $(PROGRAMS:%=./cmd/%)

demo: build
	bin/quaybench demo

# Tests start real processes, built with the race detector too.
test:
	@mkdir -p bin/test
	go build $(RACE) -o bin/test/ $(PROGRAMS:%=./cmd/%)
	go test $(RACE) -count=1 work

check:
	_scripts/check

generate:
	_scripts/generate
