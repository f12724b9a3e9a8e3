// Command birchcart-fleet is birchcart with fleet support. It serves queries in the same way. With a `fleet` section in the
// operators' file, it agrees with the other co-ordinators which machine may go out of service for maintenance, and when.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"birchcart/internal/fleet"
	"birchcart/internal/fleet/fleetfile"
	"birchcart/internal/serve"
)

// command defines the commands and global flags of the command line.
type command struct {
	LogLevel string `help:"Least level that is logged: debug, info, warn or error; over the operators' file's, info without either." default:"" enum:",debug,info,warn,error" env:"EDGE_LOG_LEVEL"`

	Serve   serveCommand   `cmd:"" help:"Serve queries until SIGTERM."`
	Check   checkCommand   `cmd:"" help:"Read a configuration, say what it comes to, and exit."`
	Restore restoreCommand `cmd:"" help:"After the majority of the raft group's disks is lost for good: make a raft group of this voter alone, from its store. It must not run."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type serveCommand struct{ serve.Args }

func (c *serveCommand) Run(p *serve.Process, hangups chan os.Signal) error {
	return serve.Run(c.Args, p, hangups, fleet.New())
}

type checkCommand struct{ serve.CheckArgs }

func (c *checkCommand) Run(*serve.Process) error {
	if err := serve.Check(c.CheckArgs, fleet.New()); err != nil {
		return err
	}
	_, op, err := c.Files()
	if err != nil {
		return err
	}
	for _, w := range fleetfile.Warnings(op) {
		fmt.Println("warning: " + w)
	}
	return nil
}

type restoreCommand struct {
	serve.Source
	StoppedAt time.Time `help:"When the last of the old raft group's voters had stopped, as 2026-12-02T22:00:00Z; now, if it is not given. What was granted by then is waited for." optional:""`
}

func (c *restoreCommand) Run(p *serve.Process) error {
	cfg, op, err := c.Files()
	if err != nil {
		return err
	}
	stopped := c.StoppedAt
	if stopped.IsZero() {
		stopped = time.Now()
	}
	if err := fleet.Restore(cfg.Name, op, stopped, p.Log().WithField("node", cfg.Name)); err != nil {
		return err
	}
	fmt.Printf("%s is a raft group of one; start it, then the other voters with empty folders and without council.found\n", cfg.Name)
	return nil
}

type versionCommand struct{}

func (versionCommand) Run(*serve.Process) error {
	fmt.Println("birchcart-fleet", serve.Version())
	return nil
}

func main() {
	// The signals are set up first and never reset. An unhandled SIGHUP would terminate the process, also during
	// startup or a drain, and so would a SIGPIPE after the reader of the log has exited.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	// With SIGXFSZ ignored, a write beyond the file size limit returns an error, as on a full disk. Otherwise the signal
	// would terminate the process.
	signal.Ignore(syscall.SIGXFSZ)
	var cmd command
	ctx := kong.Parse(&cmd, kong.Name("birchcart-fleet"),
		kong.Description("A co-ordinator that answers queries from replicas of many shards, and settles with others which machine may go out for work."), kong.UsageOnError())
	p := serve.NewProcess(cmd.LogLevel)
	err := ctx.Run(p, hangups)
	p.Close()
	ctx.FatalIfErrorf(err)
}
