package front

import (
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// Guards against clients that take the whole core by coming again as soon as they are turned away with a request that they do not end:
// accepting them is paced. Clients who send whole requests are not paced.
func TestClientsThatAreTurnedAwayArePaced(t *testing.T) {
	const clients, cores = 20, 0.1
	st := newTestServer(t, func(l *config.Limits) { l.UnreadBytes, l.Cores, l.Clients = 8<<10, cores, 3*clients })
	began := time.Now()
	for range clients {
		c := st.dial()
		c.write("POST /search HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat(" ", 20<<10))
		c.expectStatus(503)
	}
	pause := time.Duration(float64(turnAwayTime) / cores)
	if took := time.Since(began); took < (clients-1)*pause {
		t.Errorf("%d clients were turned away in %v, want at least %v", clients, took, (clients-1)*pause)
	}
	time.Sleep(pause) // of the last one
	for range clients {
		c := st.dial()
		c.write(queryRequest("a", "", validBody))
		st.nextQuery().Reply(exchange.Reply{})
		c.expectStatus(200)
	}
	if st.server.pacer.turnedAway.Load() != 0 {
		t.Error("clients who were served count as turned away")
	}
}
