// Package standin has the scripted peers of the project's own tests and demonstrations: replicas that speak frames,
// feature servers, discovery, and made-up records for them. All listen on loopback. They are written from the
// protocols' pages and share with the program only its parsers of frames and requests.
//
// A stand-in does what its script says and notes what it was asked. It decides nothing and judges nothing.
package standin

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchcart/internal/frame"
)

// FrameMost bounds the frames that a stand-in reads.
const FrameMost = 1 << 20

// Trouble is what a replica does with a part beside answering it.
type Trouble uint8

// Faults that a replica can be told to show.
const (
	Well       Trouble = iota
	Fault              // says that it failed
	Overload           // says that it never began
	Silent             // takes it and says nothing
	Cut                // closes in the middle of the answer
	Spoilt             // answers what can't be read
	HangUp             // closes the connection instead of answering
	WrongValue         // answers well in form, with a value that answers something else
)

// Does is what a script wants done with a part.
type Does struct {
	After   time.Duration
	Until   <-chan struct{} // answered once it is closed; nil: at once, or after a while
	Trouble Trouble
	Value   []byte
	Score   int64
}

// Asked is one part as a replica got it.
type Asked struct {
	ID    string
	Shard int
	Text  []byte
	Wait  time.Duration // for which the co-ordinator says that it will wait
	At    time.Time
}

// Script tells what to do with a part. It is called from many goroutines.
type Script func(a Asked) Does

// Replica is one that speaks frames.
type Replica struct {
	Name    string
	address string
	script  Script

	mu    sync.Mutex
	ln    net.Listener
	asked []Asked
	conns map[net.Conn]struct{}
}

// NewReplica starts a replica on loopback, at any free port.
func NewReplica(name string, script Script) (*Replica, error) {
	return NewReplicaAt(name, "127.0.0.1:0", script)
}

// NewReplicaAt starts one at an address. One that is to listen there again after a crash needs a port that the kernel
// gives to nobody meanwhile.
func NewReplicaAt(name, address string, script Script) (*Replica, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Replica{Name: name, address: ln.Addr().String(), ln: ln, script: script, conns: map[net.Conn]struct{}{}}
	go r.accept(ln)
	return r, nil
}

// Address is where it listens.
func (r *Replica) Address() string { return r.address }

// Asked lists the parts it got, in order.
func (r *Replica) Asked() []Asked {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.asked)
}

// Connections is how many are open.
func (r *Replica) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Crash closes all connections and refuses new ones until Restart.
func (r *Replica) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ln.Close()
	for c := range r.conns {
		c.Close()
	}
}

// Restart listens again where it did.
func (r *Replica) Restart() error {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.ln = ln
	r.mu.Unlock()
	go r.accept(ln)
	return nil
}

// Close ends it.
func (r *Replica) Close() { r.Crash() }

func (r *Replica) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[nc] = struct{}{}
		r.mu.Unlock()
		go r.serve(nc)
	}
}

func (r *Replica) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		r.mu.Lock()
		delete(r.conns, nc)
		r.mu.Unlock()
	}()
	out := &frames{nc: nc}
	in := bufio.NewScanner(nc)
	in.Buffer(nil, FrameMost+4)
	in.Split(frame.Split(FrameMost))
	for in.Scan() {
		switch f := in.Text(); f[0] {
		case frame.Call:
			parts, err := parseCall(f[1:])
			if err != nil {
				out.say(string(frame.Unfit) + err.Error())
				return
			}
			for _, a := range parts {
				r.mu.Lock()
				r.asked = append(r.asked, a)
				r.mu.Unlock()
				d := r.script(a)
				if d.Until != nil {
					go func() { <-d.Until; r.answer(out, a, d) }()
				} else if d.After > 0 {
					time.AfterFunc(d.After, func() { r.answer(out, a, d) })
				} else {
					r.answer(out, a, d)
				}
			}
		case frame.Probe:
			out.say(string(frame.Probe) + frame.Hit)
		}
	}
}

func (r *Replica) answer(out *frames, a Asked, d Does) {
	end := frame.Hit
	switch d.Trouble {
	case Silent:
		return
	case HangUp:
		out.nc.Close()
		return
	case Spoilt:
		out.say(string(frame.Answer) + a.ID + " nonsense\n")
		return
	case Fault:
		end, d.Value = frame.Fault, nil
	case Overload:
		end, d.Value = frame.Overload, nil
	}
	text := fmt.Sprintf("%c%s %s %d -\n%s", frame.Answer, a.ID, end, d.Score, d.Value)
	if d.Trouble == Cut {
		out.cut(text)
		return
	}
	out.say(text)
}

// frames writes whole frames, one at a time.
type frames struct {
	mu sync.Mutex
	nc net.Conn
}

func sealed(rest string) []byte {
	n := len(rest)
	return append([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, rest...)
}

func (f *frames) say(rest string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nc.Write(sealed(rest)) // a peer that has gone is no concern of a stand-in's
}

func (f *frames) cut(rest string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := sealed(rest)
	f.nc.Write(b[:len(b)/2])
	f.nc.Close()
}

// waitOf is the time that a part's list tells, 0 if it tells none.
func waitOf(list string) time.Duration {
	for _, item := range strings.Split(list, ",") {
		if ms, found := strings.CutPrefix(item, "d="); found {
			n, _ := strconv.Atoi(ms)
			return time.Duration(n) * time.Millisecond
		}
	}
	return 0
}

// parseCall reads the parts of a call: lines `ID SHARD d=WAIT,... LENGTH`, each with its text behind.
func parseCall(rest string) ([]Asked, error) {
	var out []Asked
	for rest != "" {
		line, more, ok := strings.Cut(rest, "\n")
		f := strings.Fields(line)
		if !ok || len(f) != 4 {
			return nil, fmt.Errorf("a part's line of %d fields", len(f))
		}
		shard, err := strconv.Atoi(f[1])
		n, also := strconv.Atoi(f[3])
		if err != nil || also != nil || n < 0 || n > len(more) {
			return nil, fmt.Errorf("a part's line %q", line)
		}
		out = append(out, Asked{ID: f[0], Shard: shard, Text: []byte(more[:n]), Wait: waitOf(f[2]), At: time.Now()})
		rest = more[n:]
	}
	return out, nil
}
