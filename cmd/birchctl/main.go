// Command birchctl is the operators' command line: it renders and checks their files, and proves what they expect of a
// deployment without traffic. It never takes part in serving.
//
// Exit status: 0 what was asked holds, 1 it does not, 2 it could not be read or done.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"birchcart/internal/template"
)

type command struct {
	Output string `help:"How results are printed: table or json." default:"table" enum:"table,json" short:"o"`

	Render     renderCommand     `cmd:"" help:"Render an operators' file to the JSON that serve reads."`
	Lint       lintCommand       `cmd:"" help:"Check an operators' file and its deployment, all mistakes at once."`
	Explain    explainCommand    `cmd:"" help:"Show who holds a shard, who would get a part, and why."`
	Expect     expectCommand     `cmd:"" help:"Check expectations against the decisions, with no traffic."`
	OGC        ogcCommand        `cmd:"" name:"ogc" help:"Ask and check feature servers; a demonstration."`
	Record     recordCommand     `cmd:"" help:"Sum up, cut and anonymise recorded traffic."`
	Route      routeCommand      `cmd:"" help:"Explain and compare routes."`
	Completion completionCommand `cmd:"" help:"Print the line that turns on completion in a shell."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// errNotHeld ends the program with status 1; what is not so has been printed.
var errNotHeld = errors.New("not held")

const (
	statusNotHeld = 1
	statusUnread  = 2
)

type versionCommand struct{}

func (versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("birchctl", version)
	return nil
}

func main() {
	template.Child()
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cmd command
	parser, err := kong.New(&cmd, kong.Name("birchctl"), kong.UsageOnError(),
		kong.Description("Checks and explains what operators ask of their co-ordinators."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "birchctl:", err)
		return statusUnread
	}
	kongplete.Complete(parser)
	kctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "birchctl:", err)
		return statusUnread
	}
	kctx.BindTo(ctx, (*context.Context)(nil))
	err = kctx.Run(&printer{json: cmd.Output == "json", out: os.Stdout})
	switch {
	case errors.Is(err, errNotHeld):
		return statusNotHeld
	case err != nil:
		fmt.Fprintln(os.Stderr, "birchctl:", err)
		return statusUnread
	}
	return 0
}
