// Command birchcart is a co-ordinator: it takes queries from clients, asks replicas for their parts, and
// answers from what returns.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/discovery"
)

// command is the command line.
type command struct {
	LogLevel string `help:"Least level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error" env:"EDGE_LOG_LEVEL"`

	Serve   serveCommand   `cmd:"" help:"Serve queries until SIGTERM."`
	Check   checkCommand   `cmd:"" help:"Read a configuration, say what it comes to, and exit."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// source is where the configuration comes from.
type source struct {
	Config    string `help:"File with the configuration, as JSON." env:"EDGE_CONFIG" type:"path" placeholder:"FILE"`
	Name      string `help:"Name of this co-ordinator; overrides the file's." env:"EDGE_NAME"`
	Listen    string `help:"Address for clients; overrides the file's." env:"EDGE_LISTEN" placeholder:"HOST:PORT"`
	Discovery string `help:"Address of discovery; overrides the file's." env:"EDGE_DISCOVERY" placeholder:"HOST:PORT"`
}

func (s *source) load() (*config.Config, error) {
	return config.Load(config.Source{Path: s.Config, Name: s.Name, Listen: s.Listen, Discovery: s.Discovery})
}

type checkCommand struct {
	source
}

func (c *checkCommand) Run(*logrus.Logger) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("name %s, listens on %s, discovery at %s\n", cfg.Name, cfg.Listen, cfg.Discovery)
	fmt.Printf("%d classes, %d tenants, %d shards in %d cells, %d co-ordinators\n", len(cfg.Policy.Classes),
		len(cfg.Policy.Tenants), cfg.Policy.Shards, cfg.Policy.Cells, cfg.Policy.Aggregators)
	l := cfg.Limits
	fmt.Printf("%d descriptors: %d clients, %d refused beyond, %d connections to replicas\n", l.Sockets, l.Clients,
		l.ClientsOver, l.ReplicaLinks)
	fmt.Printf("%d MB of memory, %d queries and parts at once\n", l.Memory>>20, l.Held)
	if len(cfg.Known) == 0 {
		return errors.New("no known list of replicas")
	}
	list, index, _, err := discovery.Parse(cfg.Known)
	if err != nil {
		return fmt.Errorf("known list: %w", err)
	}
	fmt.Printf("known list %d with %d replicas\n", index, len(list.Entries))
	return nil
}

type versionCommand struct{}

func (versionCommand) Run(*logrus.Logger) error {
	fmt.Println("birchcart", version())
	return nil
}

// version is the module's, or the commit that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = s.Value
		}
	}
	return v + " " + info.GoVersion
}

func main() {
	// Before anything else, and for good: a SIGHUP that nobody waits for ends a process, at its start and in its
	// drain as well. The same holds for SIGPIPE once whoever reads the log has gone.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	var cmd command
	ctx := kong.Parse(&cmd, kong.Name("birchcart"),
		kong.Description("A co-ordinator that answers queries from replicas of many shards."), kong.UsageOnError())
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	level, err := logrus.ParseLevel(cmd.LogLevel)
	ctx.FatalIfErrorf(err)
	log.SetLevel(level)
	ctx.FatalIfErrorf(ctx.Run(log, hangups))
}
