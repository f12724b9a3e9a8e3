package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"birchcart/internal/standin"
)

// answerSlack is for how long after its client's time a query may still be answered before it counts as lost.
const answerSlack = 500 * time.Millisecond

// pieces is a client that sends a request in pieces on one connection and reads one answer.
type pieces struct {
	name string
	conn net.Conn
	sent time.Time // when the last byte was sent
}

func dialPieces(t *testing.T, name, address string) *pieces {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &pieces{name: name, conn: conn}
}

func (p *pieces) send(t *testing.T, text string) {
	t.Helper()
	p.sent = time.Now()
	if _, err := io.WriteString(p.conn, text); err != nil {
		t.Errorf("%s: %v", p.name, err)
	}
}

// answer reads an answer, which has to be whole and there by the client's time.
func (p *pieces) answer(wait time.Duration) error {
	p.conn.SetReadDeadline(p.sent.Add(wait + answerSlack))
	resp, err := http.ReadResponse(bufio.NewReader(p.conn), nil)
	if err != nil {
		return fmt.Errorf("%s: no answer %v after it was sent: %w", p.name, time.Since(p.sent), err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 503 && resp.StatusCode != 504 {
		return fmt.Errorf("%s: status %d, %v", p.name, resp.StatusCode, err)
	}
	return nil
}

// Guards against a shutdown that closes the connections of queries unanswered, at either front and in whatever state it meets
// them. Replicas hang throughout. With deadlines of 3 s the process has to end before SIGKILL may come; with longer ones queries
// from before SIGTERM keep their time.
func TestSIGTERMMeetsQueriesOfBothFronts(t *testing.T) {
	for _, giveUp := range []time.Duration{3 * time.Second, 6 * time.Second} {
		t.Run(giveUp.String(), func(t *testing.T) {
			t.Parallel()
			fleet, err := standin.NewFleet(standin.FleetShape{
				Replicas: 6, Cells: 6, Reach: 2, Shards: 6,
				Classes: []standin.FleetClass{{Name: "search", Promise: 1, GiveUp: giveUp.Seconds(), Semantics: "repeatable", Need: 1, Floor: 1}},
			}, func(standin.Asked) standin.Does { return standin.Does{Trouble: standin.Silent} })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(fleet.Close)
			users, features := freeAddress(t), freeAddress(t)
			cmd, log := startAndAwaitList(t, "--config", writeConfig(t, string(fleet.Config(users))),
				"--operator", writeConfig(t, string(fleet.Operator(features))))
			awaitReady(t, users, 200)

			userQuery := func(id string) string {
				const body = `{"buckets":[{"bucket":2,"part":1}],"body":"c41e77d0"}`
				return fmt.Sprintf("POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
					id, giveUp.Milliseconds(), len(body), body)
			}
			const featureQuery = "GET /collections/search/items HTTP/1.1\r\nHost: h\r\n\r\n"
			open := []*pieces{dialPieces(t, "user query", users), dialPieces(t, "feature query", features)}
			begun := []*pieces{dialPieces(t, "user query, half read", users), dialPieces(t, "feature query, half read", features)}
			late := []*pieces{dialPieces(t, "user query in the drain", users), dialPieces(t, "feature query in the drain", features)}
			whole := []string{userQuery("begun"), featureQuery}
			open[0].send(t, userQuery("open"))
			open[1].send(t, featureQuery)
			for i := range whole {
				begun[i].send(t, whole[i][:len(whole[i])/2])
			}
			for len(fleet.Replicas[2].Asked())+len(fleet.Replicas[3].Asked()) < len(open) {
				time.Sleep(time.Millisecond)
			}
			signalledAt := terminate(cmd)
			log.Until(t, "draining")
			late[0].send(t, userQuery("late"))
			late[1].send(t, featureQuery)
			time.Sleep(time.Until(signalledAt.Add(acceptGracePeriod + 100*time.Millisecond)))
			for i := range whole {
				begun[i].send(t, whole[i][len(whole[i])/2:])
			}
			for _, p := range slices.Concat(late, begun, open) {
				if err := p.answer(giveUp); err != nil {
					t.Error(err)
				}
			}
			if giveUp <= 3*time.Second {
				expectCleanExit(t, cmd, log, signalledAt)
			} else if err := cmd.Wait(); err != nil {
				t.Errorf("ended with %v\n%s", err, log.String())
			}
		})
	}
}
