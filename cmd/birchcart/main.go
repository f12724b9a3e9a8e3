// Command birchcart is a co-ordinator: it accepts queries from clients, requests their parts from replicas, and
// builds each answer from the responses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"birchcart/internal/serve"
)

// command defines the commands and global flags of the command line.
type command struct {
	LogLevel string `help:"Least level that is logged: debug, info, warn or error; over the operators' file's, info without either." default:"" enum:",debug,info,warn,error" env:"EDGE_LOG_LEVEL"`

	Serve   serveCommand   `cmd:"" help:"Serve queries until SIGTERM."`
	Check   checkCommand   `cmd:"" help:"Read a configuration, say what it comes to, and exit."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type serveCommand struct{ serve.Args }

func (c *serveCommand) Run(p *serve.Process, hangups chan os.Signal) error {
	return serve.Run(c.Args, p, hangups, nil)
}

type checkCommand struct{ serve.CheckArgs }

func (c *checkCommand) Run(*serve.Process) error { return serve.Check(c.CheckArgs, nil) }

type versionCommand struct{}

func (versionCommand) Run(*serve.Process) error {
	fmt.Println("birchcart", serve.Version())
	return nil
}

func main() {
	// The signals are set up first and never reset. An unhandled SIGHUP would terminate the process, also during
	// startup or a drain, and so would a SIGPIPE after the reader of the log has exited.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	var cmd command
	ctx := kong.Parse(&cmd, kong.Name("birchcart"),
		kong.Description("A co-ordinator that answers queries from replicas of many shards."), kong.UsageOnError())
	p := serve.NewProcess(cmd.LogLevel)
	err := ctx.Run(p, hangups)
	p.Close()
	ctx.FatalIfErrorf(err)
}
