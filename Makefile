# Runs every check: formatter, linter, build and tests with the race detector.
.PHONY: test check build deploy model bench
test: check build deploy model
	go test -race -timeout 20m ./...

check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

build:
	go build ./...

# Runs the build line of the deploy file, as the platform does in a clean checkout.
deploy:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# Model-checks the protocol specifications with Spin.
model:
	./specs/run.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...
