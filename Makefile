include tools/versions.mk

GO ?= go
TOOLS_BIN ?= $(CURDIR)/bin
BIN := $(CURDIR)/bin
PACKAGES := ./...
FUZZTIME ?= 30s
SEEDS ?= 2000

export TOOLS_BIN

.PHONY: all build test bench lint format race fuzz soak capacity tools generate check-generated demo

all: build lint test

build:
	$(GO) build -o $(BIN)/gooseberryway .

test:
	$(GO) test -race -shuffle=on $(PACKAGES)

race: test

bench:
	$(GO) test -run '^$$' -bench . -benchmem $(PACKAGES)

lint: $(TOOLS_BIN)/golangci-lint
	$(TOOLS_BIN)/golangci-lint fmt --diff
	$(TOOLS_BIN)/golangci-lint run --allow-parallel-runners

format: $(TOOLS_BIN)/golangci-lint
	$(TOOLS_BIN)/golangci-lint fmt

demo:
	$(GO) run . demo

tools: $(TOOLS_BIN)/golangci-lint $(TOOLS_BIN)/protoc-gen-go $(TOOLS_BIN)/protoc-gen-connect-go

$(TOOLS_BIN)/golangci-lint:
	GOBIN=$(TOOLS_BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(TOOLS_BIN)/protoc-gen-go:
	GOBIN=$(TOOLS_BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

$(TOOLS_BIN)/protoc-gen-connect-go:
	GOBIN=$(TOOLS_BIN) $(GO) install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_GO_VERSION)

generate: $(TOOLS_BIN)/protoc-gen-go $(TOOLS_BIN)/protoc-gen-connect-go
	./proto/generate.sh

# Fails when the committed generated code differs from what the schema yields.
check-generated:
	./proto/check.sh
