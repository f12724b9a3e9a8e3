package laneconfig

import (
	"fmt"
	"time"

	"birchcart/internal/settings"
)

// Look is what is known at a moment.
type Look struct {
	Now           time.Duration // own monotonic time
	Agreed        time.Duration // agreed time, as the newest command here tells it
	Force, Before *Version      // of Agreed's InForce
	Own           *SetBody      // of the own file; nil: it has no section, and there are no lanes here
	Heard         int           // the highest revision that others say they have applied; 0: none
}

// Mix is what one co-ordinator goes by: what is in force, the stricter where it is two. One that hears of a higher
// revision than was applied to its copy is behind: it goes by the stricter of its own and that revision where its file has
// it, and else by what it has. Where nothing was agreed on yet it goes by its own file.
type Mix struct {
	names  *settings.Names
	routes []string

	began bool
	force string        // in force, as last seen
	since time.Duration // own time at which it was seen first
	key   mixed
	set   *Set
	wrong string // why key can't be used
	sets  []compiled
}

// mixed says which sections a set is of.
type mixed struct{ force, before, own string }

type compiled struct {
	key string
	set *Set
}

// keptMost is the compiled sets that are kept: force, before and the own one.
const keptMost = 3

// NewMix is one for these settings and routes.
func NewMix(names *settings.Names, routes []string) *Mix { return &Mix{names: names, routes: routes} }

// Step tells what to go by, nil for no lanes, whether it is another one than at the last call, and in words what is not as it
// should be: "" for nothing.
func (m *Mix) Step(l Look) (set *Set, changed bool, note string) {
	want, note := m.want(l)
	if !m.began || want != m.key {
		m.began, m.key, m.wrong = true, want, "" // what is wrong is not tried again: the same would come of it
		next, err := m.mix(l, want)
		if err != nil {
			m.wrong = fmt.Sprintf("lanes can't be used here, so this co-ordinator stays with what it has: %v", err)
		} else {
			changed, m.set = next != m.set, next
		}
	}
	if m.wrong != "" {
		note = m.wrong
	}
	return m.set, changed, note
}

// want says which sections count.
func (m *Mix) want(l Look) (w mixed, note string) {
	if l.Own == nil {
		return mixed{}, ""
	}
	if l.Force == nil {
		note = "no lanes are agreed on yet, as far as is known here: those of the own file count"
		if l.Heard > l.Own.Revision {
			note += fmt.Sprintf("; it is of revision %d, others go by %d", l.Own.Revision, l.Heard)
		}
		return mixed{own: l.Own.key()}, note
	}
	w.force = l.Force.key()
	if w.force != m.force {
		m.force, m.since = w.force, l.Now
	}
	// Agreed time stands still while nothing is agreed on; the own clock ends it then.
	if l.Before != nil && l.Agreed < l.Force.Since+MixFor && l.Now < m.since+MixFor {
		w.before = l.Before.key()
	}
	if l.Heard > l.Force.Revision {
		note = fmt.Sprintf("this co-ordinator is behind: lanes of revision %d are applied here, others go by %d", l.Force.Revision, l.Heard)
		if l.Own.Revision > l.Force.Revision && l.Own.Revision <= l.Heard {
			w.own = l.Own.key()
			note += fmt.Sprintf("; the stricter of it and the own file's revision %d counts", l.Own.Revision)
		}
	}
	return w, note
}

func (b *SetBody) key() string { return fmt.Sprintf("%d %s", b.Revision, b.Sum) }

func (m *Mix) mix(l Look, w mixed) (*Set, error) {
	var out *Set
	var used []compiled
	bodies := [keptMost]*SetBody{nil, nil, l.Own}
	if l.Force != nil {
		bodies[1] = &l.Force.SetBody
	}
	if l.Before != nil {
		bodies[0] = &l.Before.SetBody
	}
	for i, key := range []string{w.before, w.force, w.own} {
		if key == "" {
			continue
		}
		set := m.kept(key)
		if set == nil {
			section, err := bodies[i].Section()
			if err == nil {
				set, err = Of(section, bodies[i].Revision, m.names, m.routes)
			}
			if err != nil {
				return nil, err
			}
		}
		used = append(used, compiled{key, set})
		out = Stricter(out, set)
	}
	m.sets = used
	return out, nil
}

func (m *Mix) kept(key string) *Set {
	for _, c := range m.sets {
		if c.key == key {
			return c.set
		}
	}
	return nil
}
