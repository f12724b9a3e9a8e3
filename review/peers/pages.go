package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"birchcart/internal/standin"
)

// Figures of the case. The class is that of the project's demonstration (birchctl ogc demo): it needs all parts and gives an answer
// from half of them when its time is over; docs/designs/ogc.md wants such a class for collections that are paged through.
const (
	pagesGiveUp = 3 * time.Second
	pagesHang   = 9 * time.Second // len_s of "hang" in rabat-counts: 8.2 to 24
	pageLimit   = 100
	squareEach  = 20 // records of a square
)

// pagesHung are two of twelve readers, the holders of section 4: the page's limit is 19 %.
var pagesHung = []int{4, 5}

// itemsPage is a page of features as a client reads it.
type itemsPage struct {
	Features []struct {
		ID string `json:"id"`
	} `json:"features"`
	Complete bool     `json:"complete"`
	Missing  []string `json:"missingSquares"`
	Links    []struct {
		Rel  string `json:"rel"`
		Href string `json:"href"`
	} `json:"links"`
}

func (p *itemsPage) link(rel string) string {
	for _, l := range p.Links {
		if l.Rel == rel {
			return l.Href
		}
	}
	return ""
}

// shortPages: a client reads a whole collection by the links of its pages, while two of twelve readers take parts and answer none.
func shortPages(r *caseRun) error {
	var mu sync.Mutex
	hung := false
	var counts standin.Counts
	d, err := r.startRabat(standin.FleetClass{Name: "counts", Promise: 1, GiveUp: pagesGiveUp.Seconds(), Semantics: "repeatable", Need: 1, Floor: 0.5},
		func(i int, a standin.Asked) standin.Does {
			mu.Lock()
			silent := hung && slices.Contains(pagesHung, i)
			mu.Unlock()
			if silent {
				r.note("reader r%d got part %s of section %d and does not answer", i, a.ID, a.Shard)
				return standin.Does{Trouble: standin.Silent}
			}
			does := counts.Does(a)
			does.After = rabatWork / 4
			return does
		})
	if err != nil {
		return err
	}
	counts = standin.MakeCounts(59, d.places, squareEach)
	given := map[string]bool{} // features that the client was given
	hungAt := time.Now()
	if r.trouble {
		mu.Lock()
		hung = true
		mu.Unlock()
		r.note("readers r%d and r%d hang from now on: they take parts and answer none", pagesHung[0], pagesHung[1])
	}
	next, missing := fmt.Sprintf("http://%s/collections/counts/items?limit=%d", d.features, pageLimit), ""
	for page := 1; next != ""; page++ {
		p, err := r.readPage(fmt.Sprintf("page %d", page), next, given)
		if err != nil {
			return err
		}
		if next, missing = p.link("next"), p.link("missing"); !p.Complete && next == "" {
			r.judgeNames(d, given, p.Missing)
		}
	}
	if r.trouble {
		time.Sleep(time.Until(hungAt.Add(pagesHang)))
		mu.Lock()
		hung = false
		mu.Unlock()
		r.note("no reader hangs any more; the client follows the link of what is missing")
		time.Sleep(2 * time.Second)
	}
	for page := 1; missing != ""; page++ {
		p, err := r.readPage(fmt.Sprintf("missing, page %d", page), missing, given)
		if err != nil {
			return err
		}
		if missing = p.link("next"); !p.Complete {
			return fmt.Errorf("what is missing is not whole after the outage")
		}
	}
	total := len(d.places) * squareEach
	r.note("the client has %d of %d features, and no link that it has not followed", len(given), total)
	if len(given) < total {
		r.breaks("%d of %d features were never given, and no link leads to them; the last page says complete: true", total-len(given), total)
	}
	return nil
}

// readPage reads one page. A refusal or failure is an answer of the page; the client asks again after a second, some times.
func (r *caseRun) readPage(name, address string, given map[string]bool) (*itemsPage, error) {
	for range 5 {
		began := time.Now()
		resp, err := (&http.Client{Timeout: pagesGiveUp + 5*time.Second}).Get(address)
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode != http.StatusOK {
			r.note("%s: status %d after %v", name, resp.StatusCode, time.Since(began).Round(time.Millisecond))
			time.Sleep(time.Second)
			continue
		}
		var p itemsPage
		if err := json.Unmarshal(body, &p); err != nil {
			return nil, err
		}
		for _, f := range p.Features {
			given[f.ID] = true
		}
		r.note("%s: status 200 after %v, %d features, complete: %v, missingSquares %v, link next: %v, link missing: %v", name,
			time.Since(began).Round(time.Millisecond), len(p.Features), p.Complete, p.Missing, p.link("next") != "", p.link("missing") != "")
		return &p, nil
	}
	return nil, fmt.Errorf("%s was refused five times", name)
}

// judgeNames: an answer that is not complete and has no next page has to name all that the client lacks.
func (r *caseRun) judgeNames(d *rabat, given map[string]bool, named []string) {
	var lacking []string
	for _, place := range d.places {
		have := 0
		for id := range given {
			if strings.HasPrefix(id, place.Name+".") {
				have++
			}
		}
		if have < squareEach && !slices.Contains(named, place.Name) {
			lacking = append(lacking, place.Name)
		}
	}
	if len(lacking) > 0 {
		r.breaks("the answer names %v as missing and has no next page; the client lacks features of %d further squares: %v", named, len(lacking), lacking)
	}
}
