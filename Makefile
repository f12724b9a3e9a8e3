.PHONY: build test race fuzz lint run clean

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	bash .ci/run

race:
	go test -race -timeout 5m ./...

fuzz:
	go test -fuzz FuzzRequest -fuzztime 20s ./internal/h1
	go test -fuzz FuzzResponse -fuzztime 20s ./internal/h1
	go test -fuzz FuzzSplit -fuzztime 20s ./internal/frame
	go test -fuzz FuzzAnswer -fuzztime 20s ./internal/frame
	go test -fuzz FuzzBody -fuzztime 20s ./internal/front
	go test -fuzz FuzzSteps -fuzztime 20s ./internal/exchange

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

run: build
	bin/birchcart serve --config deploy/example.json

clean:
	rm -rf bin logs found
