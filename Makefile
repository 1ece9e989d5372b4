.PHONY: build lint fmt test generate
GOFILES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

build:
	go build -o bin/ ./cmd/...

lint:
	@out=$$(go tool gofumpt -l $(GOFILES)); if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

fmt:
	go tool gofumpt -w $(GOFILES)

# The tests with real processes run after the others, which use all processors.
# SKIP is a regular expression of tests that are passed over; CI sets it.
SKIP ?=
test:
	go test -race -count=1 -timeout 20m -skip '$(SKIP)' $$(go list ./... | grep -v -e /internal/e2e$$ -e /internal/crowd$$)
	go test -race -count=1 -timeout 20m ./internal/e2e
	go test -count=1 -timeout 20m ./internal/crowd

generate:
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	cd tools/buf && go build -o $(CURDIR)/bin/buf github.com/bufbuild/buf/cmd/buf
	cd internal/wire && PATH="$(CURDIR)/bin:$$PATH" $(CURDIR)/bin/buf generate

include make/targets.mk
