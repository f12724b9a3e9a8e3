// Command birchcart-sim plays the decision module in the bench: it reads batches on standard input and
// replies on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"birchcart/internal/instances"
	"birchcart/internal/wire"
	"birchcart/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "birchcart-sim:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	dec, registry := wire.NewDecoder(in), instances.New()
	var items []wire.Item
	var reply []byte
	for {
		now, got, err := dec.Batch(items[:0])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		items, reply = got, reply[:0]
		err = registry.Turn(now, items, func(instance int, a *policy.Action) {
			reply = wire.Append(reply, instance, a)
		})
		if err != nil {
			return err
		}
		if _, err := out.Write(wire.End(reply)); err != nil {
			return err
		}
	}
}
