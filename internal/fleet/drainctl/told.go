package drainctl

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

// heard is what a co-ordinator's newest poll said.
type heard struct {
	at   time.Duration // own time at which a poll of its last came
	no   uint64
	noAt time.Duration // own time at which that number came
	laid []peerproto.Laid
	clock
}

// hear takes a poll. One that overtook is late: it shows that its sender spoke, which lengthens what is counted as its
// lease, but of what is laid only that counts which both say.
func (l *Lead) hear(p Polled) {
	h := l.heard[p.From]
	if h == nil {
		if len(l.heard) >= HeardMost {
			oldest := ""
			for _, name := range slices.Sorted(maps.Keys(l.heard)) {
				if oldest == "" || l.heard[name].at < l.heard[oldest].at {
					oldest = name
				}
			}
			delete(l.heard, oldest)
		}
		h = &heard{}
		l.heard[p.From] = h
	}
	laid := slices.Clone(p.Laid)
	if p.No != 0 && p.No < h.no && l.now-h.noAt < LateMost {
		laid = slices.DeleteFunc(laid, func(x peerproto.Laid) bool { return !slices.Contains(h.laid, x) })
	} else {
		h.no, h.noAt = p.No, l.now
		h.clock = clock{off: p.Wall - l.now, at: l.now, set: p.Wall > 0}
	}
	h.at, h.laid = l.now, laid
}

// silence is how long nothing was heard of a co-ordinator: since its last poll, or the own election, whichever is later.
func (l *Lead) silence(name string) time.Duration {
	from := l.since
	if h := l.heard[name]; h != nil {
		from = max(from, h.at)
	}
	return l.now - from
}

// over is the silence after which a co-ordinator's lease and grace have ended, however its clock ran.
func over(limits maintenance.Limits) time.Duration {
	need := limits.Lease + limits.Grace
	return need + need/Drift
}

// Counts says whether a leader of this state waits for the co-ordinator before it tells, though it has never heard of it:
// the inventory has it. Only such a one may be given a lease; a leader that dies takes with it whom else it has heard.
func Counts(s *maintenance.State, name string) bool {
	m, ok := s.Machine(name)
	return ok && m.Kind == maintenance.Coordinator
}

// must are all whose word counts: the co-ordinators of the inventory, in whatever state, and all that have polled.
func (l *Lead) must() []string {
	names := slices.Collect(maps.Keys(l.heard))
	for _, m := range l.state.Machines() {
		if m.Kind == maintenance.Coordinator {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// putTold proposes, for each grant that is not told, that it is, once each co-ordinator has laid its drain or is silent
// for so long; or that it is withdrawn, if one that is live refuses, or takes too long, or if there is no time left.
func (l *Lead) putTold(limits maintenance.Limits, open []maintenance.Item) {
	live := map[uint64]bool{}
	var must []string
	for _, it := range open {
		if it.Phase != maintenance.Granted {
			continue
		}
		live[it.Fence] = true
		if _, ok := l.granted[it.Fence]; !ok {
			l.granted[it.Fence] = l.now
		}
		if must == nil {
			must = l.must()
		}
		l.tell(limits, it, must)
	}
	maps.DeleteFunc(l.granted, func(fence uint64, _ time.Duration) bool { return !live[fence] })
}

func (l *Lead) tell(limits maintenance.Limits, it maintenance.Item, must []string) {
	body := maintenance.AcknowledgeBody{Machine: it.Machine, Fence: it.Fence}
	var missing []string
	for _, name := range must {
		silent := l.silence(name)
		var says *peerproto.Laid
		if h := l.heard[name]; h != nil {
			if i := slices.IndexFunc(h.laid, func(x peerproto.Laid) bool { return x.Fence == it.Fence && x.Machine == it.Machine }); i >= 0 {
				says = &h.laid[i]
			}
		}
		switch {
		case says != nil && !says.Refused:
			body.Acknowledged = append(body.Acknowledged, name)
		case silent > over(limits):
			body.Silent = append(body.Silent, maintenance.Silent{Name: name, For: silent})
		case says != nil:
			l.withdraw(it, fmt.Sprintf("%s refuses: %s", name, says.Why))
			return
		default:
			missing = append(missing, name)
		}
	}
	switch {
	case it.Until-limits.SettleTime <= l.time:
		l.withdraw(it, "no time is left to begin")
	case len(missing) == 0:
		l.propose(fmt.Sprintf("told %s %d", it.Machine, it.Fence), "told", body, l.notGranted(it))
	case l.now-max(l.granted[it.Fence], l.since) > over(limits)+TellSlack:
		l.withdraw(it, fmt.Sprintf("not laid in time by %s", few(missing)))
	}
}

func (l *Lead) withdraw(it maintenance.Item, why string) {
	body := maintenance.WithdrawBody{Machine: it.Machine, Fence: it.Fence, Reason: why[:min(len(why), maintenance.MaxNameLength)]}
	if l.propose(fmt.Sprintf("withdraw %s %d", it.Machine, it.Fence), "withdraw", body, l.notGranted(it)) {
		l.say("the grant %d of %s is withdrawn: %s", it.Fence, it.Machine, why)
	}
}

// notGranted says that the grant is told, or ended.
func (l *Lead) notGranted(it maintenance.Item) func() bool {
	return func() bool {
		now, ok := l.state.ActiveItem(it.Machine)
		return !ok || now.Fence != it.Fence || now.Phase != maintenance.Granted
	}
}

// few are the first names of many.
func few(names []string) string {
	if len(names) <= 3 {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:3], ", "), len(names)-3)
}
