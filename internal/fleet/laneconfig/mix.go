package laneconfig

import (
	"fmt"
	"time"

	"birchcart/internal/settings"
)

// SelectorInput is what is known at a moment.
type SelectorInput struct {
	Now               time.Duration // lookupAccount monotonic time
	AgreedTime        time.Duration // agreed time, as the newest command here tells it
	Current, Previous *Version      // of Agreed's InForce
	FileSection       *SetBody      // of the own file; nil: it has no section, and there are no lanes here
	PeerRevision      int           // the highest revision that others say they have applied; 0: none
}

// Selector is what one co-ordinator goes by: what is in force, the stricter where it is two. One that hears of a higher
// revision than was applied to its copy is behind: it goes by the stricter of its own and that revision where its file has
// it, and else by what it has. Where nothing was agreed on yet it goes by its own file.
type Selector struct {
	names  *settings.Names
	routes []string

	started      bool
	currentID    string        // in force, as last seen
	currentSince time.Duration // lookupAccount time at which it was seen first
	sources      sourceIDs
	set          *Set
	failure      string // why key can't be used
	cache        []compiledSet
}

// sourceIDs says which sections a set is of.
type sourceIDs struct{ current, previous, file string }

type compiledSet struct {
	id  string
	set *Set
}

// maxCachedSets is the compiled sets that are kept: force, before and the own one.
const maxCachedSets = 3

// NewSelector is one for these settings and routes.
func NewSelector(names *settings.Names, routes []string) *Selector {
	return &Selector{names: names, routes: routes}
}

// Select tells what to go by, nil for no lanes, whether it is another one than at the last call, and in words what is not as it
// should be: "" for nothing.
func (m *Selector) Select(l SelectorInput) (set *Set, changed bool, note string) {
	want, note := m.wantedSources(l)
	if !m.started || want != m.sources {
		m.started, m.sources, m.failure = true, want, "" // what is wrong is not tried again: the same would come of it
		next, err := m.build(l, want)
		if err != nil {
			m.failure = fmt.Sprintf("lanes can't be used here, so this co-ordinator stays with what it has: %v", err)
		} else {
			changed, m.set = next != m.set, next
		}
	}
	if m.failure != "" {
		note = m.failure
	}
	return m.set, changed, note
}

// wantedSources says which sections count.
func (m *Selector) wantedSources(l SelectorInput) (w sourceIDs, note string) {
	if l.FileSection == nil {
		return sourceIDs{}, ""
	}
	if l.Current == nil {
		note = "no lanes are agreed on yet, as far as is known here: those of the own file count"
		if l.PeerRevision > l.FileSection.Revision {
			note += fmt.Sprintf("; it is of revision %d, others go by %d", l.FileSection.Revision, l.PeerRevision)
		}
		return sourceIDs{file: l.FileSection.id()}, note
	}
	w.current = l.Current.id()
	if w.current != m.currentID {
		m.currentID, m.currentSince = w.current, l.Now
	}
	// AgreedTime time stands still while nothing is agreed on; the own clock ends it then.
	if l.Previous != nil && l.AgreedTime < l.Current.Since+OverlapDuration && l.Now < m.currentSince+OverlapDuration {
		w.previous = l.Previous.id()
	}
	if l.PeerRevision > l.Current.Revision {
		note = fmt.Sprintf("this co-ordinator is behind: lanes of revision %d are applied here, others go by %d", l.Current.Revision, l.PeerRevision)
		if l.FileSection.Revision > l.Current.Revision && l.FileSection.Revision <= l.PeerRevision {
			w.file = l.FileSection.id()
			note += fmt.Sprintf("; the stricter of it and the own file's revision %d counts", l.FileSection.Revision)
		}
	}
	return w, note
}

func (b *SetBody) id() string { return fmt.Sprintf("%d %s", b.Revision, b.Sum) }

func (m *Selector) build(l SelectorInput, w sourceIDs) (*Set, error) {
	var out *Set
	var used []compiledSet
	bodies := [maxCachedSets]*SetBody{nil, nil, l.FileSection}
	if l.Current != nil {
		bodies[1] = &l.Current.SetBody
	}
	if l.Previous != nil {
		bodies[0] = &l.Previous.SetBody
	}
	for i, key := range []string{w.previous, w.current, w.file} {
		if key == "" {
			continue
		}
		set := m.cached(key)
		if set == nil {
			section, err := bodies[i].Section()
			if err == nil {
				set, err = Compile(section, bodies[i].Revision, m.names, m.routes)
			}
			if err != nil {
				return nil, err
			}
		}
		used = append(used, compiledSet{key, set})
		out = Stricter(out, set)
	}
	m.cache = used
	return out, nil
}

func (m *Selector) cached(key string) *Set {
	for _, c := range m.cache {
		if c.id == key {
			return c.set
		}
	}
	return nil
}
