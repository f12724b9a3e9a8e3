package ogc_test

import (
	"net/http"
	"testing"

	"birchcart/internal/config"
	"birchcart/internal/feature"
)

// Guards against pages in work at once that take more memory than there is, and against a rejection of a query that has run.
func TestPagesBeyondMemoryAreRejectedBeforeTheyRun(t *testing.T) {
	const fitting = 2
	r := newPatientRig(t, func(l *config.Limits) {
		unhurried(l)
		l.UnreadBytes = fitting * int64(shape.Shards) * feature.ValueMost
	})
	gate := r.holdReaders()
	var open []*rawClient
	for range fitting {
		c := r.dial()
		c.send(pageRequest)
		open = append(open, c)
	}
	r.settled(func() bool { return r.asked() >= fitting*shape.Shards })
	for _, form := range []string{"json", "html"} {
		asked := r.asked()
		resp, _, err := r.get(t.Context(), r.base()+"/collections/once/items?f="+form)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %v, %v, want a rejection that names a time", form, resp, err)
		}
		if n := r.asked(); n > asked {
			t.Errorf("%s: %d parts of the rejected query were sent", form, n-asked)
		}
	}
	close(gate)
	for _, c := range open {
		c.expectAnswer(http.StatusOK)
	}
	if resp, _, err := r.get(t.Context(), r.base()+"/collections/once/items"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v after the others have ended", resp, err)
	}
}

// Guards against a single page that takes more memory than there is: it is cut, and further pages hold the rest.
func TestPageIsCutToMemory(t *testing.T) {
	const parts = 5
	r := newPatientRig(t, func(l *config.Limits) { l.UnreadBytes = parts * feature.ValueMost })
	url := r.base() + "/collections/all/items?limit=1000"
	found := map[string]bool{}
	for pages := 0; url != "" && pages < 2*shape.Shards; pages++ {
		asked := r.asked()
		resp, it, err := r.get(t.Context(), url)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
		if n := r.asked() - asked; n > parts {
			t.Errorf("a page of %d parts, want %d at most", n, parts)
		}
		for _, f := range it.Features {
			if found[f.ID] {
				t.Errorf("feature %s comes twice", f.ID)
			}
			found[f.ID] = true
		}
		url = it.link("next")
	}
	if want := 30 * shape.Shards; len(found) != want {
		t.Errorf("%d features, want %d", len(found), want)
	}
}

// Guards against a query that has run and is rejected since other clients do not take their answers: its repeat would run again.
func TestUnreadAnswersRejectNoQueryThatRan(t *testing.T) {
	r := newPatientRig(t, func(l *config.Limits) {
		unhurried(l)
		l.UnreadBytes = int64(shape.Shards)*feature.ValueMost + 4<<10 // one page, and less than the bytes of another
	})
	gate := r.holdReaders()
	first := r.dial()
	first.send(pageRequest)
	r.settled(func() bool { return r.asked() >= shape.Shards })
	second := r.dial()
	second.send("GET /collections/once/items HTTP/1.1\r\nHost: x\r\n\r\n")
	second.expectAnswer(http.StatusServiceUnavailable)
	if n := r.asked(); n > shape.Shards {
		t.Errorf("%d parts of the rejected query were sent", n-shape.Shards)
	}
	close(gate)
	first.expectAnswer(http.StatusOK)
}
