include tools/versions.mk

GO ?= go
TOOLS_BIN ?= $(CURDIR)/bin
BIN := $(CURDIR)/bin
PACKAGES := ./...
# A package may take longer than the default of ten minutes beside others.
TESTTIME ?= 20m
FUZZTIME ?= 30s
SEEDS ?= 2000
SOAKTIME ?= 2h
SOAKTESTS ?= .
# Its tests measure the memory of processes and must not share the machine with other tests.
APART := /internal/program/crowd$$

export TOOLS_BIN

# Tests of faults that are known and open.
RED := $(shell sed -n 's/^ *skipped: \(Test[A-Za-z0-9]*\)$$/\1/p' KNOWN-RED.txt | paste -sd '|')

TEST := $(GO) test -race -shuffle=on -timeout $(TESTTIME) $(if $(RED),-skip '^($(RED))$$')

.PHONY: all build test bench lint format race fuzz soak capacity tools generate check-generated demo

all: build lint test

build:
	$(GO) build -o $(BIN)/gooseberryway .

test:
	all=$$($(GO) list $(PACKAGES)) || exit; \
	beside=$$(echo "$$all" | grep -v '$(APART)'); if [ -n "$$beside" ]; then $(TEST) $$beside || exit; fi; \
	apart=$$(echo "$$all" | grep '$(APART)'); if [ -n "$$apart" ]; then $(TEST) -p 1 $$apart; fi

race: test

bench:
	$(GO) test -run '^$$' -bench . -benchmem $(PACKAGES)

lint: $(TOOLS_BIN)/golangci-lint
	$(TOOLS_BIN)/golangci-lint fmt --diff
	$(TOOLS_BIN)/golangci-lint run --allow-parallel-runners

format: $(TOOLS_BIN)/golangci-lint
	$(TOOLS_BIN)/golangci-lint fmt

# Runs every fuzz target for FUZZTIME. A failing input is kept under testdata/fuzz of its package.
fuzz:
	@set -e; for pkg in $$($(GO) list $(PACKAGES)); do \
		listed=$$($(GO) test -list '^Fuzz' $$pkg); \
		for target in $$(echo "$$listed" | grep '^Fuzz' || true); do \
			echo "$$pkg $$target"; \
			$(GO) test -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZTIME) $$pkg; \
		done; \
	done

# Runs the random state machines with SEEDS runs each. A failure prints its seed and the command that repeats it.
soak:
	$(GO) test -timeout $(SOAKTIME) $$(grep -rl --include=*_test.go pgregory.net/rapid internal | xargs -n1 dirname | sort -u | sed 's,^,./,') \
		-run '$(SOAKTESTS)' -rapid.checks=$(SEEDS) -rapid.seed=0

demo:
	$(GO) run . demo

tools: $(TOOLS_BIN)/golangci-lint $(TOOLS_BIN)/protoc-gen-go $(TOOLS_BIN)/protoc-gen-connect-go $(TOOLS_BIN)/gopls

$(TOOLS_BIN)/golangci-lint:
	GOBIN=$(TOOLS_BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(TOOLS_BIN)/protoc-gen-go:
	GOBIN=$(TOOLS_BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

$(TOOLS_BIN)/protoc-gen-connect-go:
	GOBIN=$(TOOLS_BIN) $(GO) install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_GO_VERSION)

# Renames identifiers with every use: bin/gopls rename -w FILE:LINE:COLUMN NAME
$(TOOLS_BIN)/gopls:
	GOBIN=$(TOOLS_BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

generate: $(TOOLS_BIN)/protoc-gen-go $(TOOLS_BIN)/protoc-gen-connect-go
	./proto/generate.sh

# Fails when the committed generated code differs from what the schema yields.
check-generated:
	./proto/check.sh

# Runs the benchmarks that give slopes, keeps their output in CAPACITY_RAW and prints the tables of docs/CAPACITY.md.
CAPACITY_RAW ?= $(BIN)/capacity.txt
BENCH := $(GO) test -run '^$$'
capacity:
	mkdir -p $(dir $(CAPACITY_RAW))
	{ set -e; \
	$(BENCH) -bench 'AddedTime|Requests' -benchtime 3000x ./internal/program/daemon; \
	$(BENCH) -bench TokenBatch -benchtime 1000x ./internal/program/daemon; \
	$(BENCH) -bench 'StreamMemory|Control' -benchtime 1x ./internal/program/daemon; \
	$(BENCH) -bench Control -benchtime 1x ./internal/program/load; \
	$(BENCH) -bench 'Size|Observe|Messages' -benchtime 1x ./internal/coordination/quota ./internal/coordination/claim ./internal/coordination/moves; \
	$(BENCH) -bench 'Admit|HandleGrant|Claim$$' -benchtime 50000x -benchmem ./internal/coordination/quota ./internal/coordination/claim; \
	$(BENCH) -bench CacheEvent -benchtime 10000x -benchmem ./internal/transport/engine; \
	$(BENCH) -bench Heartbeats -benchtime 100x -benchmem ./internal/coordination/member; \
	$(BENCH) -bench Replay -benchtime 3x ./internal/coordination/replay; \
	$(BENCH) -bench 'Pick$$|Valid|Version|Flight' -benchtime 10000x -benchmem ./internal/coordination/route ./internal/coordination/lease ./internal/coordination/moves; \
	$(BENCH) -bench Stickiness -benchtime 1x ./internal/coordination/moves; \
	$(BENCH) -bench 'Match|Apply' -benchtime 10000x -benchmem ./internal/state/prefix; \
	$(BENCH) -bench 'Memory|Delta|Chain' -benchtime 3x -benchmem ./internal/state/prefix; \
	$(BENCH) -bench Size -benchtime 1000x -benchmem ./internal/state/config; \
	$(BENCH) -bench Series -benchtime 1x ./internal/state/burn; \
	$(BENCH) -bench Record -benchtime 10000x ./internal/state/burn; \
	} >$(CAPACITY_RAW) 2>$(CAPACITY_RAW).log
	$(GO) run ./internal/program/capac <$(CAPACITY_RAW)
