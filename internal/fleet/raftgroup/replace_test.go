package raftgroup

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
)

// A voter is replaced while the new voter or its links fail, and Replace is repeated until it succeeds, as the leader does
// every few seconds. In the end the voters are the expected ones and all hold each command once.
func TestReplaceUnderFaults(t *testing.T) {
	// Long: one scenario, in which each step on the cluster depends on the previous ones.
	t.Parallel()
	for _, kind := range []string{"repeated", "cut to the new one", "cut from the new one", "cut both", "crash, disk kept", "late"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, func(o *Options) { o.TimeoutFactor = 8 })
			lead, _ := c.leader("")
			c.mustPropose(lead, "a")
			old := "v0"
			if lead == old {
				old = "v1"
			}
			next := Voter{"v3", freeAddr(t)}
			c.voters = append(c.voters, next)
			c.open(next, false)
			leaderAddr := c.voter(lead).Addr
			var cut [][2]string
			switch kind {
			case "cut to the new one":
				cut = [][2]string{{leaderAddr, next.Addr}}
			case "cut from the new one":
				cut = [][2]string{{next.Addr, leaderAddr}}
			case "cut both":
				cut = [][2]string{{leaderAddr, next.Addr}, {next.Addr, leaderAddr}}
			case "crash, disk kept":
				c.close(next.Name)
			case "late":
				c.links.writeDelay.Store(int64(150 * time.Millisecond))
			}
			c.links.setCut(true, cut...)
			if err := c.groups[lead].Replace(old, next); err != nil {
				t.Log(err)
			}
			if err := propose(c.groups[lead], "b"); err != nil {
				t.Logf("proposal during the fault: %v", err)
			}
			c.links.setCut(false, cut...)
			c.links.writeDelay.Store(0)
			if kind == "crash, disk kept" {
				c.open(next, false)
			}
			var names []string
			waitFor(t, "the voters are the expected ones", waitLimit, func() bool {
				lead, _ = c.leader("")
				if lead == old {
					_ = c.groups[lead].TransferLeadership()
					return false
				}
				err := c.groups[lead].Replace(old, next)
				if err == nil && kind == "repeated" {
					err = c.groups[lead].Replace(old, next)
				}
				if err != nil {
					return false
				}
				voters, err := c.groups[lead].Voters()
				names = nil
				for _, v := range voters {
					names = append(names, v.Name)
				}
				sort.Strings(names)
				return err == nil && len(names) == 3 && !strings.Contains(fmt.Sprint(names), old)
			})
			if fmt.Sprint(names) != fmt.Sprint(votersWithout(old)) {
				t.Errorf("unexpected voters %v", names)
			}
			c.close(old)
			waitFor(t, "a command is committed", waitLimit, func() bool {
				lead, _ = c.leader("")
				return propose(c.groups[lead], "c") == nil
			})
			s := c.waitUntilEqual()
			if strings.Count(s, `"a"`) != 1 || strings.Count(s, `"b"`) > 1 || !strings.Contains(s, `"c"`) {
				t.Error(s)
			}
		})
	}
}

func votersWithout(old string) (out []string) {
	for _, n := range []string{"v0", "v1", "v2", "v3"} {
		if n != old {
			out = append(out, n)
		}
	}
	return out
}

// logBuffer collects log output.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (k *logBuffer) Write(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.b.Write(p)
}

// A voter without a majority retries elections without end. It must log at most one line of each kind per window of the log
// adapter.
func TestLogRateWithoutQuorum(t *testing.T) {
	if testing.Short() {
		t.Skip("takes longer than two windows of the log adapter")
	}
	t.Parallel()
	const span = 22 * time.Second
	var out logBuffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	c := newCluster(t, 3, func(o *Options) {
		if o.Name == "v0" {
			o.Log = logrus.NewEntry(log)
		}
	})
	c.leader("")
	c.close("v1")
	c.close("v2")
	waitFor(t, "the voter is a candidate", waitLimit, func() bool { return c.groups["v0"].raft.State() == raft.Candidate })
	out.mu.Lock()
	out.b.Reset()
	out.mu.Unlock()
	time.Sleep(span) // lines are counted over this span
	var notLeader *NotLeaderError
	if err := propose(c.groups["v0"], "alone"); !errors.As(err, &notLeader) {
		t.Error(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	linesByKind, lines := map[string]int{}, 0
	for line := range strings.Lines(out.b.String()) {
		lines++
		k, _, _ := strings.Cut(strings.TrimFunc(strings.TrimLeftFunc(line, unicode.IsSpace), unicode.IsSpace), ": ")
		linesByKind[strings.Map(func(r rune) rune {
			if unicode.IsDigit(r) {
				return -1
			}
			return r
		}, k+line[min(len(line), len(k)):min(len(line), len(k)+40)])]++
	}
	t.Logf("%d lines of %d kinds in %v", lines, len(linesByKind), span)
	for k, n := range linesByKind {
		if n > 4 {
			t.Errorf("%d lines of %q", n, k)
		}
	}
	if lines == 0 || lines > 60 {
		t.Errorf("%d lines:\n%s", lines, out.b.String())
	}
}
