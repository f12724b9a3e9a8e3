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

// Beside is what a program runs beside the serving. The serving never waits for it, and what becomes of it never ends
// the serving; only what it can't be started with does.
type Beside interface {
	// Start is called before anything is served. An error ends the program.
	Start(Serving) error
	// Await is called once after Start, with the list of replicas coming in and before anything listens for clients. It
	// returns soon, whatever becomes of what it waits for, and at once when ctx ends.
	Await(ctx context.Context)
	// Reload takes the operators' file that was read again. An error keeps the file before in force.
	Reload(*operator.File) error
	// Leave is called in the drain, beside it, and returns soon.
	Leave()
	// Stop is called once, after the drain, whether or not Start has returned an error.
	Stop()
}

// Serving is what there is to run beside.
type Serving struct {
	Config   *config.Config
	Operator *operator.File // nil if there is none
	Exchange *exchange.Exchange
	Heard    func() time.Time // when discovery last said that the list holds, zero for never
	Log      *logrus.Entry
	End      func() // as SIGTERM does
}

var errFleet = errors.New("$.fleet: this program can't keep what the section asks for; start birchcart-fleet with it, or take it out")

// fits refuses a file that asks for more than runs beside, or than the machine has room for.
func fits(cfg *config.Config, op *operator.File, beside Beside) error {
	switch {
	case op == nil || op.Fleet == nil:
		return nil
	case beside == nil:
		return errFleet
	}
	return deployment.Room(cfg, op)
}
