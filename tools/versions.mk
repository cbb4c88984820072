# Versions of the tools. They are built in modules of their own, apart from the product's go.mod.
GOLANGCI_LINT_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_CONNECT_GO_VERSION := v1.21.1
GOPLS_VERSION := v0.23.0
