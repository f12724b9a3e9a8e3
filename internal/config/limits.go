package config

import (
	"cmp"
	"strconv"
	"time"

	"birchcart/internal/settings"
)

// Limits holds every size, count and time that the co-ordinator keeps on its sockets. It is filled at start,
// from the settings and the machine's limits, and handed down.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int   // descriptors of the process

	// Clients.
	Clients     int           // connections served; past that idle ones make room
	ClientsOver int           // connections beyond, which are answered with a refusal and closed
	UnreadBytes int64         // of requests not yet whole, of all connections together
	HeadBytes   int           // of a request or a response
	BodyBytes   int           // of a request
	IDBytes     int           // of a query's id
	Pipelined   int           // requests read ahead on one connection
	FirstTime   time.Duration // from a connection's start to the last byte of its first request
	RequestTime time.Duration // from the first byte of a request to its last
	SlowRequest time.Duration // after so long a silent start or an unfinished request makes room for other clients
	ClientIdle  time.Duration // between requests
	IdleMost    int           // connections between requests
	TidyEvery   time.Duration // between looks for connections over that
	Linger      time.Duration // after a connection's last answer, for the client to close
	LingerBytes int           // read meanwhile, and after a connection's last request
	Longest     time.Duration // of the times that clients say they wait; over it is a mistake
	MostWork    float64       // seconds of a part's hint; over it is a mistake
	Held        int           // queries and parts at once; 0 for no limit
	// FeatureClients are connections of the front for feature queries; 0 where there is none.
	FeatureClients int
	ComeBack       time.Duration // named when a limit refuses a query; 0 where no time may be named

	// Replicas.
	ReplicaLinks int           // connections to all replicas
	PerReplica   int           // connections to one
	Spread       int           // of these, opened so that parts need not share one
	Streams      int           // parts out on a connection
	CallParts    int           // parts of one call
	FrameBytes   int           // of a replica's frame; no body to a client is over 64 KiB
	FrameTime    time.Duration // from a frame's first byte to its last
	ConnectTime  time.Duration // for a connection to come up
	ReplicaIdle  time.Duration // after so long without a part a connection is closed
	SiblingTime  time.Duration // after a connection's end, for that of the others to be heard
	Silence      time.Duration // parts out and nothing heard for so long: no new part goes there
	Remember     time.Duration // for how long answers to parts that were given up are expected
	ProbeTime    time.Duration

	// Discovery.
	ListBytes    int           // of one line
	WatchSilence time.Duration // for a whole line or a pulse of the watch: the pulse comes every 2 s
	AgentTime    time.Duration // for a connection and the whole answer on it: the agent is on this machine
	RedialFirst  time.Duration // wait before a new connection, doubled up to the most
	RedialMost   time.Duration // also from one ask to the next while none is answered
	ListCheck    time.Duration // from one check to the next of a watch that may not report changes; 0 for none

	CallTime  time.Duration // for the whole answer to a call, where the list is asked for: discovery serves calls in turn
	CallFirst time.Duration // wait from a failed call to the next, doubled up to the most
	CallMost  time.Duration

	ReadyBy time.Duration // after the start, also with no list: queries are refused then, with a time to come back

	Forget time.Duration // after so long a replica that is off the list is forgotten

	// The configuration.
	ReloadWait  time.Duration // before a file that can't be read is looked at again
	ReloadTries int           // looks at one

	// All.
	WriteTime time.Duration // for queued bytes to be taken by the peer's machine
	AnswerBy  time.Duration // after a query's end, the latest that it is closed
	DrainTime time.Duration // after SIGTERM, for how long clients still come
	EndTime   time.Duration // after SIGTERM, until when all is answered: SIGKILL may follow
	StepGap   time.Duration // between the part that opens a second step and the others
	LogEvery  time.Duration // between log lines of one kind
	TellEvery time.Duration // between lines that sum up the work
}

// What a file or a setting that is absent, or 0 where 0 can't be meant, comes to. Each of these is told by the platform's
// files; no deployment's figure stands here.
const (
	// absentSockets and absentMemory: the most that the deployment page names for a day that counts. With less than the
	// machine has a co-ordinator refuses early; with more it is killed.
	absentSockets = 1024
	absentMemory  = 192 << 20
	// absentConnect (allowed.connect_timeout_s) is an assumption: many handshakes between data centres, and well under
	// the second after which a machine sends a lost first packet again. 0 would be no limit to the dialling, and would
	// make every connection with a part out a silent one.
	absentConnect = 250 * time.Millisecond
	// absentIdle (allowed.conn_idle_s) is an assumption: under the idle limits that servers ship with, a minute or more.
	// Too short costs handshakes; too long has parts cross the close.
	absentIdle = 15 * time.Second
	// absentGiveUp (classes[].give_up_s) is the most that the protocol page puts off the end after SIGTERM for. A query
	// that is open then has its client's own time as well, so that too long a guess keeps no query past it.
	absentGiveUp = longestKept
)

const (
	// readyBy lies a second under the 6 s in which restarted co-ordinators have to be ready on the shortest days, and gives
	// discovery five times AgentTime to answer first: with no list a co-ordinator only refuses.
	readyBy = 5 * time.Second
	// spanMost is longer than any process lives.
	spanMost = 365 * 24 * time.Hour
	// remembered is longer than the deadlines that are usual: an answer that is no longer expected ends its connection.
	// Where clients may wait for longer than this, so long.
	remembered   = 15 * time.Second
	leastSockets = 8    // for clients and replicas, of the least that serves anybody
	fixedSockets = 24   // standard streams, listener, discovery, epoll and what the runtime opens
	idleShare    = 0.75 // of the replica's idle limit: closed well before, or a part crosses the close
	listPart     = 16   // of the memory: the line and what is read of it stand side by side
	unreadPart   = 8    // of the memory: with buffers that double and the collector's slack it is a quarter
	drainTime    = 700 * time.Millisecond
	// longestKept is from the protocol page: a deadline that is longer does not put off SIGKILL after SIGTERM.
	longestKept = 3 * time.Second
	endShare    = 0.9 // of the longest deadline: all is answered well before SIGKILL
	// redialMost: what an agent has counts as notified at once, the rules' least grace is 0.3 s, and the machine may hold the
	// process up for 0.15 s of it. Twice as long leaves no time for the answer; half as long asks a silent agent twice as often.
	redialMost = 100 * time.Millisecond
	listCheck  = 80 * time.Millisecond // with the answer, under the 0.1 s that the grace leaves beside a hold-up of 0.15 s
	// callTime: discovery turns away a call whose answer it would have in over 2 s, so what it takes is answered within
	// that. With the silence of a watch before it, 3 s, that is under the 6 s after which what was missed counts as told;
	// half as long leaves calls whose answer is on its way.
	callTime = 2200 * time.Millisecond
	// callMost: a wait and a call are under 6 s together, so that what discovery has once it can be reached again is had in
	// time. Half as long and refused co-ordinators keep it busy with refusing; twice as long is over the 6 s.
	callMost  = 2 * time.Second
	callFirst = 200 * time.Millisecond
	// reloadWait and reloadTries: what a new address has to tell counts 4 s after the hangup. A file that is whole by 2.7 s
	// is read within reloadWait then, and its list had within RedialMost and AgentTime. Twice as long between looks takes
	// as much from that; a look costs the reading of one file.
	reloadWait  = 100 * time.Millisecond
	reloadTries = 31
	silentDials = 4 // connect times without a word: a healthy machine would have taken a new connection
)

func limits(m machine, s *settings.Reader) Limits {
	sockets := m.Sockets
	if sockets <= 0 {
		sockets = absentSockets
	}
	memory := int64(m.MemoryMB) << 20
	if memory <= 0 {
		memory = absentMemory
	}
	free := max(leastSockets, sockets-fixedSockets)
	connect := cmp.Or(seconds(s.Float("allowed.connect_timeout_s", 0)), absentConnect)
	idle := cmp.Or(seconds(s.Float("allowed.conn_idle_s", 0)), absentIdle)
	comeBack := time.Duration(0)
	if s.Bool("allowed.retry_after") { // the longest that clients heed: what is full empties slowly
		comeBack = seconds(s.Float("allowed.max_retry_after_s", 0))
	}
	longest := longestWait(s)
	return Limits{
		Cores: m.Cores, Memory: memory, Sockets: sockets,

		Clients: free / 2, ClientsOver: free / 10, UnreadBytes: memory / unreadPart,
		HeadBytes: 16 << 10, BodyBytes: 64 << 10, IDBytes: 128, Pipelined: 4,
		FirstTime: 2 * time.Second, RequestTime: 2 * time.Second, SlowRequest: 100 * time.Millisecond,
		ClientIdle: 5 * time.Second, IdleMost: free / 6, TidyEvery: 50 * time.Millisecond, Linger: 200 * time.Millisecond, LingerBytes: 64 << 10,
		Longest: time.Hour, MostWork: 3600,
		Held: s.Int("allowed.open_cap", 0), ComeBack: comeBack,

		ReplicaLinks: free * 2 / 5, PerReplica: max(8, 256/max(1, s.Int("allowed.streams_per_conn", 1))),
		Streams:    max(1, s.Int("allowed.streams_per_conn", 1)),
		CallParts:  max(1, s.Int("family_info.per_call", 1)),
		FrameBytes: 68 << 10, FrameTime: connect, ConnectTime: connect, Spread: 4, SiblingTime: 5 * time.Millisecond,
		ReplicaIdle: time.Duration(idleShare * float64(idle)),
		Silence:     silentDials * connect, Remember: max(remembered, longest), ProbeTime: connect,

		ListBytes: int(min(8<<20, memory/listPart)), WatchSilence: 3 * time.Second, AgentTime: time.Second, Forget: 30 * time.Second,
		CallTime: callTime, CallFirst: callFirst, CallMost: callMost,
		ReadyBy: readyBy, ReloadWait: reloadWait, ReloadTries: reloadTries,
		RedialFirst: 50 * time.Millisecond, RedialMost: redialMost, ListCheck: listCheck,

		WriteTime: time.Second, AnswerBy: 40 * time.Millisecond,
		DrainTime: drainTime, EndTime: drainTime + time.Duration(endShare*float64(min(longest, longestKept))), LogEvery: time.Second, TellEvery: 10 * time.Second,
		StepGap: 3 * time.Millisecond,
	}
}

// longestWait is the longest that a client of any class waits.
func longestWait(s *settings.Reader) time.Duration {
	longest := time.Duration(0)
	for i := range s.Int("classes.count", 0) {
		told := seconds(s.Float("classes."+strconv.Itoa(i)+".give_up_s", 0))
		longest = max(longest, cmp.Or(told, absentGiveUp))
	}
	return longest
}

// WithForward parts the connections to replicas between those that speak frames and feature servers: first the limits
// of the former, then of the latter.
func (l Limits) WithForward() (frames, servers Limits) {
	frames, servers = l, l
	servers.ReplicaLinks = max(1, l.ReplicaLinks/2)
	frames.ReplicaLinks = max(1, l.ReplicaLinks-servers.ReplicaLinks)
	return frames, servers
}

// WithFeatures gives a quarter of the clients' connections to the front for feature queries.
func (l Limits) WithFeatures() Limits {
	l.FeatureClients = max(1, l.Clients/4)
	l.Clients -= l.FeatureClients
	l.IdleMost = min(l.IdleMost, max(1, l.Clients/3))
	return l
}

// seconds is a time of the settings, cut to spanMost: sums and multiples of it are times still.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, spanMost.Seconds()) * float64(time.Second))
}
