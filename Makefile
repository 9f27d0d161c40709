# Everything a newcomer needs: `make demo` and `make test`.
PROGRAMS := quaylead quaystand quaybench

.PHONY: build demo test race check generate bench experiments

build:
	@mkdir -p bin
	go build -o bin/ $(PROGRAMS:%=./cmd/%)

demo: build
	bin/quaybench demo

test: build
	go test work

check:
	_scripts/check

generate:
	_scripts/generate
