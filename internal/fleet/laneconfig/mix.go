package laneconfig

import (
	"fmt"
	"time"

	"birchcart/internal/settings"
)

// SelectorInput is the information that Selector uses.
type SelectorInput struct {
	Now               time.Duration // local monotonic time
	AgreedTime        time.Duration // by the newest command applied here
	Current, Previous *Version      // as returned by State.InForce
	FileSection       *SetBody      // of the local file; nil: it has no lanes section, and no lanes apply here
	PeerRevision      int           // the highest revision that other members report; 0: none
}

// Selector selects the set that a co-ordinator applies: the section in force, or the stricter combination if two are. A
// co-ordinator is behind if others report a higher revision than its state has. It then applies the stricter combination of its
// section in force and that of its file, if the file has a revision above it and not above that of the others; otherwise it stays
// with the section in force. Until a section has been agreed on, it applies the one of its file.
type Selector struct {
	names  *settings.Names
	routes []string

	started      bool
	currentID    string        // ID of the section in force, as last seen
	currentSince time.Duration // local time at which it was first seen
	sources      sourceIDs
	set          *Set
	failure      string // why the selected sections cannot be used
	cache        []compiledSet
}

// sourceIDs are the IDs of the sections that a set is made of.
type sourceIDs struct{ current, previous, file string }

type compiledSet struct {
	id  string
	set *Set
}

// maxCachedSets is the number of compiled sets that are kept: of the previous and the current section in force, and of the file's.
const maxCachedSets = 3

// NewSelector returns a Selector for these settings and routes.
func NewSelector(names *settings.Names, routes []string) *Selector {
	return &Selector{names: names, routes: routes}
}

// Select returns the set to apply, nil for no lanes, whether it differs from that of the last call, and a description of a problem,
// "" for none.
func (s *Selector) Select(in SelectorInput) (set *Set, changed bool, note string) {
	want, note := s.wantedSources(in)
	if !s.started || want != s.sources {
		s.started, s.sources, s.failure = true, want, "" // a failed combination is not tried again: it would fail in the same way
		next, err := s.build(in, want)
		if err != nil {
			s.failure = fmt.Sprintf("the lanes section cannot be used here, so the previous lanes stay applied: %v", err)
		} else {
			changed, s.set = next != s.set, next
		}
	}
	if s.failure != "" {
		note = s.failure
	}
	return s.set, changed, note
}

// wantedSources returns the sections to apply.
func (s *Selector) wantedSources(in SelectorInput) (want sourceIDs, note string) {
	if in.FileSection == nil {
		return sourceIDs{}, ""
	}
	if in.Current == nil {
		note = "no lanes section is in force in the local state: that of the local file applies"
		if in.PeerRevision > in.FileSection.Revision {
			note += fmt.Sprintf("; it has revision %d, others apply %d", in.FileSection.Revision, in.PeerRevision)
		}
		return sourceIDs{file: in.FileSection.id()}, note
	}
	want.current = in.Current.id()
	if want.current != s.currentID {
		s.currentID, s.currentSince = want.current, in.Now
	}
	// Agreed time does not advance while no command is committed, so the overlap also ends by the local clock.
	if in.Previous != nil && in.AgreedTime < in.Current.Since+OverlapDuration && in.Now < s.currentSince+OverlapDuration {
		want.previous = in.Previous.id()
	}
	if in.PeerRevision > in.Current.Revision {
		note = fmt.Sprintf("this co-ordinator is behind: it applies lanes of revision %d, others apply %d", in.Current.Revision, in.PeerRevision)
		if in.FileSection.Revision > in.Current.Revision && in.FileSection.Revision <= in.PeerRevision {
			want.file = in.FileSection.id()
			note += fmt.Sprintf("; the stricter combination of it and revision %d of the local file applies", in.FileSection.Revision)
		}
	}
	return want, note
}

func (b *SetBody) id() string { return fmt.Sprintf("%d %s", b.Revision, b.Sum) }

// build returns the stricter combination of the wanted sections, compiled.
func (s *Selector) build(in SelectorInput, want sourceIDs) (*Set, error) {
	var merged *Set
	var cache []compiledSet
	bodies := [maxCachedSets]*SetBody{nil, nil, in.FileSection}
	if in.Current != nil {
		bodies[1] = &in.Current.SetBody
	}
	if in.Previous != nil {
		bodies[0] = &in.Previous.SetBody
	}
	for i, id := range []string{want.previous, want.current, want.file} {
		if id == "" {
			continue
		}
		set := s.cached(id)
		if set == nil {
			section, err := bodies[i].Section()
			if err == nil {
				set, err = Compile(section, bodies[i].Revision, s.names, s.routes)
			}
			if err != nil {
				return nil, err
			}
		}
		cache = append(cache, compiledSet{id, set})
		merged = Stricter(merged, set)
	}
	s.cache = cache
	return merged, nil
}

// cached returns the compiled set of a section, or nil.
func (s *Selector) cached(id string) *Set {
	for _, c := range s.cache {
		if c.id == id {
			return c.set
		}
	}
	return nil
}
