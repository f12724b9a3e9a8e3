package main

import (
	"strings"
	"testing"
	"time"

	"birchcart/internal/standin"
)

// A process that starts while its agent is silent must send nothing to a replica that the agent may have as gone since before the
// outage, although the configuration's list has it: queries are rejected at once until the agent answers. Guards against the fault of
// seed 126 of the soak.
func TestStartWhileAgentIsSilentSendsNothing(t *testing.T) {
	path, address := deploy(t, 0)
	gone, ready := startReplica(t, delayedAnswer(0)), startReplica(t, delayedAnswer(0))
	known := `{"index":1,"snapshot":true,"endpoints":[{"name":"r0","address":"` + gone.Address() + `","status":"Ready"},` +
		`{"name":"r1","address":"` + ready.Address() + `","group":1,"status":"Ready"}]}`
	agent := newGatedDiscovery(t)
	cmd, log := start(t, "--config", writeConfig(t, withKnown(t, withDiscovery(readFile(t, path), agent.address()), known)))
	awaitReady(t, address, 503)
	for range 5 {
		began := time.Now()
		if a := <-postAsync(address, "early"); a.err != nil || a.status != 503 || time.Since(began) > time.Second {
			t.Errorf("while the agent is silent: %+v after %v", a, time.Since(began))
		}
		time.Sleep(50 * time.Millisecond)
	}
	agent.respond(standin.List{Index: 7, Snapshot: true, Endpoints: []standin.Endpoint{
		{Name: "r1", Address: ready.Address(), Group: 1, Status: "Ready"}}})
	awaitReady(t, address, 200)
	<-postAsync(address, "late")
	if n := len(gone.Asked()); n > 0 {
		t.Errorf("%d parts were sent to a replica that the agent has as gone", n)
	}
	if n := len(ready.Asked()); n == 0 || strings.Contains(log.String(), "source=configuration") {
		t.Errorf("%d parts were sent to the other one, want some, by the agent's list alone:\n%s", n, log.String())
	}
	expectCleanExit(t, cmd, log, terminate(cmd))
}
