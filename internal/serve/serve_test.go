package serve

import (
	"context"
	"net"
	"os"
	"testing"
)

// Told to end before it listens, a process does not listen any more: its address, which is taken, is not asked for.
func TestToldToEndBeforeItListens(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cfg, err := (&Source{Config: "../../deploy/example.json", Listen: taken.Addr().String()}).Load()
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	end()
	if err := serve(ctx, cfg, nil, nil, Args{}, make(chan os.Signal), NewProcess("error"), nil); err != nil {
		t.Error(err)
	}
}
