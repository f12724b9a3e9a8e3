package serve

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"birchcart/internal/config"
	"birchcart/internal/deployment"
	"birchcart/internal/operator"
)

// Source is where the configuration comes from. Flags and variables are read by kong.
type Source struct {
	Config    string `help:"File with the configuration, as JSON." env:"EDGE_CONFIG" type:"path" placeholder:"FILE"`
	Name      string `help:"Name of this co-ordinator; overrides the file's." env:"EDGE_NAME"`
	Listen    string `help:"Address for clients; overrides the file's." env:"EDGE_LISTEN" placeholder:"HOST:PORT"`
	Discovery string `help:"Address of discovery; overrides the file's." env:"EDGE_DISCOVERY" placeholder:"HOST:PORT"`
	Operator  string `help:"The operators' file, as birchctl render writes it." env:"EDGE_OPERATOR" type:"path" placeholder:"FILE"`
}

// Load reads the configuration.
func (s *Source) Load() (*config.Config, error) {
	return config.Load(config.Source{Path: s.Config, Name: s.Name, Listen: s.Listen, Discovery: s.Discovery})
}

// Files reads the configuration and the operators' file, nil for none, as a start does.
func (s *Source) Files() (*config.Config, *operator.File, error) {
	cfg, err := s.Load()
	if err != nil {
		return nil, nil, err
	}
	op, err := readOperator(s.Operator)
	if err == nil && op != nil {
		if err = op.AgainstNames(cfg.Names, &cfg.Policy); err != nil {
			err = fmt.Errorf("operators' file: %w", err)
		}
	}
	return cfg, op, err
}

// Args are what the command that serves takes.
type Args struct {
	Source
	Rehearse string `help:"A configuration whose settings are watched beside those in force: counts where they would decide otherwise, does nothing else." env:"EDGE_REHEARSE" type:"path" placeholder:"FILE"`
	Record   string `help:"Write what comes and how it ends there, in the format of docs/formats/record.md; the file must not exist." type:"path" placeholder:"FILE"`
}

// CheckArgs are what the command that checks takes.
type CheckArgs struct {
	Source
	Rehearse string `help:"A configuration whose settings are to be watched beside those in force." env:"EDGE_REHEARSE" type:"path" placeholder:"FILE"`
	Strict   bool   `help:"Refuse keys that nothing reads, too."`
}

// Check reads a configuration, refuses what no deployment can mean, and prints what it comes to. The extension, nil for
// none, is what would be run too.
func Check(c CheckArgs, extension Extension) error {
	cfg, err := c.Load()
	if err != nil {
		return err
	}
	op, err := readOperator(c.Operator)
	if err != nil {
		return err
	}
	d, err := deployment.Check(cfg, op)
	if err != nil {
		return err
	}
	if err := checkExtension(cfg, op, extension); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	if _, err := loadRehearsal(c.Rehearse, cfg); err != nil {
		return err
	}
	if c.Strict {
		raw, err := os.ReadFile(c.Config)
		if err != nil {
			return err
		}
		unknown, err := config.Unknown(raw)
		if err == nil && len(unknown) > 0 {
			err = fmt.Errorf("nothing reads %s", strings.Join(unknown, "\nnothing reads "))
		}
		if err != nil {
			return err
		}
	}
	fmt.Printf("name %s, listens on %s, discovery at %s\n", cfg.Name, cfg.Listen, cfg.Discovery)
	fmt.Printf("%d classes, %d tenants, %d shards in %d cells, %d co-ordinators\n", len(cfg.Policy.Classes),
		len(cfg.Policy.Tenants), cfg.Policy.Shards, cfg.Policy.Cells, cfg.Policy.Coordinators)
	l := cfg.Limits
	fmt.Printf("%d descriptors: %d clients, %d refused beyond, %d connections to replicas\n", l.Sockets, l.Clients,
		l.ClientsOver, l.ReplicaLinks)
	fmt.Printf("%d MB of memory, %d queries and parts at once\n", l.Memory>>20, l.Held)
	if op != nil && op.Fleet != nil {
		fmt.Printf("fleet of %d voters, %d requests, revision %d\n", len(op.Fleet.Voters), len(op.Fleet.Work), op.Fleet.Revision)
	}
	fmt.Printf("known list with %d replicas\n", len(d.Ring.Replicas()))
	return nil
}

// Version is the module's, or the commit that it was built from.
func Version() string {
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
