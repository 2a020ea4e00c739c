# The two commands of the README are `make run` and `make test`.

BIN := bin
BINARIES := glade-entry glade-gateway glade-controller gladectl glade-dev glade-soak glade-measure

.PHONY: build run test lint unit story soak generate clean

build:
	go build -o $(BIN)/ $(addprefix ./cmd/,$(BINARIES))

run: build
	$(BIN)/glade-dev

test: lint unit

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

unit:
	scripts/unit

# The story that CI tells, for both sample deployments.
story: build
	$(BIN)/glade-dev --once --deployment klarlund
	$(BIN)/glade-dev --once --deployment lindqvist
	$(BIN)/glade-dev --once --tls

# Faults through separate processes; longer by hand: make soak SEED=7 SECONDS=900
SEED ?= 1
SECONDS ?= 60
soak: build
	scripts/soak $(SEED) $(SECONDS)

# Needs protoc; the generators are pinned in go.mod and the result is committed.
generate:
	go build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(CURDIR)/$(BIN):$$PATH" go generate ./...

clean:
	rm -rf $(BIN)
