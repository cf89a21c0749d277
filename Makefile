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

# Benchmarks of the decisions, with allocations.
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# Measures what each role costs and writes the measured part of the page; takes
# about three minutes. CAPACITY_FLAGS = -divisor 10 -runs 1 is a short trial.
capacity: build
	$(GO) run ./cmd/capacity -binary bin/damaskspread -page docs/CAPACITY.md -json bin/capacity.json $(CAPACITY_FLAGS)

# Regenerates the wire package; only needed after a change in proto/.
generate:
	$(GO) tool -modfile=tools/proto/go.mod buf generate
