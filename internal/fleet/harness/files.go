package harness

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// lookEvery is how often the grants files are looked at. What is replaced twice in between is seen once.
const lookEvery = 15 * time.Millisecond

// GrantsVersion is that of the grants file.
const GrantsVersion = 1

// Grants is a grants file, as far as the site's tools and the checks here read it.
type Grants struct {
	Version int                `json:"version"`
	Leader  string             `json:"leader"`
	CutOff  bool               `json:"cut_off"`
	Index   uint64             `json:"index"`
	May     []May              `json:"grants"`
	Items   []maintenance.Item `json:"items"`
}

// May is a machine that may be worked on, if the work begins in time.
type May struct {
	Machine     string    `json:"machine"`
	Fence       uint64    `json:"fence"`
	StartBefore time.Time `json:"start_before"`
}

// Seen is one whole grants file as it stood at some time.
type Seen struct {
	Process int
	At      time.Time
	Grants
}

// Files watches the grants files of all processes and keeps each that it saw.
type Files struct {
	paths []string

	mu      sync.Mutex
	stats   []os.FileInfo
	last    []*Seen
	all     []*Seen
	wrong   []string // files that can't be read as whole
	news    chan struct{}
	ended   chan struct{}
	waiting sync.WaitGroup
}

// WatchFiles begins to watch.
func WatchFiles(paths []string) *Files {
	f := &Files{
		paths: paths, stats: make([]os.FileInfo, len(paths)), last: make([]*Seen, len(paths)), news: make(chan struct{}),
		ended: make(chan struct{}),
	}
	f.waiting.Go(func() {
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				f.look()
			case <-f.ended:
				return
			}
		}
	})
	return f
}

// Close ends the watching.
func (f *Files) Close() {
	close(f.ended)
	f.waiting.Wait()
}

func (f *Files) look() {
	for i, path := range f.paths {
		info, err := os.Stat(path)
		if err != nil || f.stats[i] != nil && os.SameFile(info, f.stats[i]) && info.ModTime().Equal(f.stats[i].ModTime()) {
			continue
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			continue // replaced or removed meanwhile
		}
		s := &Seen{Process: i, At: time.Now()}
		err = json.Unmarshal(raw, &s.Grants)
		if err == nil && s.Version != GrantsVersion {
			err = fmt.Errorf("version %d", s.Version)
		}
		f.mu.Lock()
		f.stats[i] = info
		if err != nil {
			f.wrong = append(f.wrong, fmt.Sprintf("grants file of process %d: %v", i, err))
		} else {
			f.last[i] = s
			f.all = append(f.all, s)
		}
		close(f.news)
		f.news = make(chan struct{})
		f.mu.Unlock()
	}
}

// All lists each file that was seen, in order of time, and what could not be read.
func (f *Files) All() ([]*Seen, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.all), slices.Clone(f.wrong)
}

// Last is the last file of a process, nil if there was none yet.
func (f *Files) Last(process int) *Seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last[process]
}

// Newest is the file that is furthest in the agreed log, nil if there is none.
func (f *Files) Newest() *Seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out *Seen
	for _, s := range f.last {
		if s != nil && (out == nil || s.Index > out.Index) {
			out = s
		}
	}
	return out
}

// Until waits until a condition holds, looked at each time that a file was replaced and every while; false at the limit.
func (f *Files) Until(limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	for {
		f.mu.Lock()
		news := f.news
		f.mu.Unlock()
		if holds() {
			return true
		}
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		t := time.NewTimer(min(left, 100*time.Millisecond))
		select {
		case <-news:
		case <-t.C:
		}
		t.Stop()
	}
}

// grant is one fence's story, put together from all files.
type grant struct {
	maintenance.Item                              // as first seen
	first            *Seen                        // in which
	told             time.Duration                // agreed; 0: never
	phases           map[maintenance.Phase]*Seen  // first seen in which file
	latest           map[maintenance.Phase]uint64 // and the highest index that has it
	until            time.Duration                // the last one said while granted or told
	ended            time.Duration                // agreed; 0: not seen
}

// grantsOf lists all grants that were ever seen, by fence.
func grantsOf(all []*Seen) []*grant {
	by := map[uint64]*grant{}
	for _, s := range all {
		for _, it := range s.Items {
			if it.Fence == 0 {
				continue
			}
			g := by[it.Fence]
			if g == nil {
				g = &grant{Item: it, first: s, phases: map[maintenance.Phase]*Seen{}, latest: map[maintenance.Phase]uint64{}}
				by[it.Fence] = g
			}
			if g.phases[it.Phase] == nil {
				g.phases[it.Phase] = s
			}
			g.latest[it.Phase] = max(g.latest[it.Phase], s.Index)
			if it.AcknowledgedAt > 0 {
				g.told = it.AcknowledgedAt
			}
			if it.EndedAt > 0 {
				g.ended = it.EndedAt
			}
			if it.Phase == maintenance.Granted || it.Phase == maintenance.Acknowledged {
				g.until = max(g.until, it.Until)
			}
		}
	}
	var out []*grant
	for _, g := range by {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *grant) int { return cmp.Compare(a.Fence, b.Fence) })
	return out
}
