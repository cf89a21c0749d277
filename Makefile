# The index of what one can do in this repository.

GO ?= go
LINT = $(GO) tool -modfile=tools/lint/go.mod golangci-lint

.PHONY: all build test lint fmt bench generate soak fuzz capacity clean

all: build lint test

build:
	$(GO) build -o bin/damaskspread ./cmd/damaskspread

test:
	$(GO) test -race -count=1 ./...

lint:
	$(LINT) run ./...

fmt:
	$(LINT) fmt ./...

# Compares the decisions with baselines (raw figures in bench/), then runs the
# benchmarks with allocations. make test doesn't depend on either.
bench:
	mkdir -p bench
	COMPARISON_DIR=$(CURDIR)/bench $(GO) test -p 1 -count=1 -run '^$$' -bench '^BenchmarkComparison$$' -benchtime 1x ./scheduler ./router
	$(GO) test -p 1 -count=1 -run '^$$' -bench . -skip '^BenchmarkComparison$$' -benchmem ./...

# Regenerates the wire package; only needed after a change in proto/.
generate:
	$(GO) tool -modfile=tools/proto/go.mod buf generate
