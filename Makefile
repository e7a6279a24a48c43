# Targets for developers. Go and make are all that is needed.

MODULES := core hornbeamd hornctl hornbench
PACKAGES := $(foreach m,$(MODULES),./$(m)/...)
SOURCES = $(shell find $(MODULES) -name '*.go' -not -path '*/hornpb/*')
DEPLOY ?= kasa

.PHONY: all build test unit lint format bench demo generate

all: build

build:
	go build -o bin/ ./hornbeamd ./hornctl ./hornbench

test: lint unit

unit:
	go vet $(PACKAGES)
	go test -race -timeout 9m $(PACKAGES)

lint:
	@cd tools && GOWORK=off go build -o ../bin/ mvdan.cc/gofumpt github.com/mgechev/revive
	@unformatted="$$(bin/gofumpt -l $(SOURCES))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted by gofumpt:"; echo "$$unformatted"; exit 1; fi
	bin/revive -config revive.toml -set_exit_status $(PACKAGES)

format:
	cd tools && GOWORK=off go build -o ../bin/ mvdan.cc/gofumpt
	bin/gofumpt -w $(SOURCES)

bench:
	go test -run '^$$' -bench . -benchmem $(PACKAGES)

demo: build
	./bin/hornbench demo --deploy $(DEPLOY)

# Needs protoc on the path; the generated files are committed.
generate:
	cd tools && GOWORK=off go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
	cd core/hornpb && PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative horn.proto
