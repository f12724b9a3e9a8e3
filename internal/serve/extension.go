package serve

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/deployment"
	"birchcart/internal/exchange"
	"birchcart/internal/operator"
)

// Extension is what a program runs beside the serving. The serving never waits for it, and its faults never end the serving;
// only what it can't be started with does.
type Extension interface {
	// Start is called before anything is served. An error ends the program.
	Start(Host) error
	// AwaitReady is called once after Start, with the list of replicas coming in and before anything listens for clients. It
	// returns soon, whatever becomes of what it waits for, and at once when ctx ends.
	AwaitReady(ctx context.Context)
	// Reload takes the operators' file that was read again. An error keeps the file before in force.
	Reload(*operator.File) error
	// ReadKeys reads the keys file again and returns what puts its keys into force. An error of either keeps the keys before in
	// force. Both may run beside the other methods.
	ReadKeys() (apply func() error, err error)
	// Drain is called in the drain, beside it, and returns soon.
	Drain()
	// Stop is called once, after the drain, whether or not Start has returned an error.
	Stop()
}

// Host is what an extension gets of the serving that it runs beside.
type Host struct {
	Config          *config.Config
	Operator        *operator.File // nil if there is none
	Exchange        *exchange.Exchange
	ListConfirmedAt func() time.Time // when discovery last said that the list holds, zero for never
	Log             *logrus.Entry
	Shutdown        func() // as SIGTERM does
}

var errNoExtension = errors.New("$.fleet: this program can't keep what the section asks for; start birchcart-fleet with it, or take it out")

// checkExtension refuses a file that asks for more than runs beside, or than the machine has room for.
func checkExtension(cfg *config.Config, op *operator.File, extension Extension) error {
	switch {
	case op == nil || op.Fleet == nil:
		return nil
	case extension == nil:
		return errNoExtension
	}
	return deployment.Room(cfg, op)
}
