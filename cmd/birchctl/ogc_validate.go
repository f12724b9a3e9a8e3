package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

type ogcValidate struct{ remote }

// ogcCheck is one requirement and what came of it.
type ogcCheck struct {
	Requirement string `json:"requirement"`
	Held        bool   `json:"held"`
	Why         string `json:"why,omitempty"`
}

// Run asks what the abstract tests of Part 1 (Annex A) ask, as far as a client can from outside.
func (c *ogcValidate) Run(ctx context.Context, p *printer) error {
	var checks []ogcCheck
	check := func(requirement string, err error) bool {
		ch := ogcCheck{Requirement: requirement, Held: err == nil}
		if err != nil {
			ch.Why = err.Error()
		}
		checks = append(checks, ch)
		return err == nil
	}
	var landing struct {
		Links []ogcLink `json:"links"`
	}
	_, err := c.get(ctx, c.base()+"/", &landing)
	if err != nil {
		return err
	}
	rels := map[string]string{}
	for _, l := range landing.Links {
		rels[l.Rel] = l.Href
	}
	for _, rel := range []string{"conformance", "data", "service-desc"} {
		var err error
		if rels[rel] == "" {
			err = fmt.Errorf("the landing page has no link %q", rel)
		}
		check("A.2.2 landing page links "+rel, err)
	}
	var conf struct {
		ConformsTo []string `json:"conformsTo"`
	}
	_, err = c.get(ctx, c.base()+"/conformance", &conf)
	if err == nil && !strings.Contains(strings.Join(conf.ConformsTo, " "), "ogcapi-features-1/1.0/conf/core") {
		err = errors.New("it does not name core")
	}
	check("A.2.4 conformance names core", err)
	var api map[string]any
	_, err = c.get(ctx, c.base()+"/api", &api)
	if err == nil && api["openapi"] == nil {
		err = errors.New("it is no OpenAPI document")
	}
	check("A.2.3 API definition", err)
	var list struct {
		Collections []ogcCollection `json:"collections"`
	}
	if _, err = c.get(ctx, c.base()+"/collections", &list); err == nil && len(list.Collections) == 0 {
		err = errors.New("there are none")
	}
	if check("A.2.5 collections", err) {
		for _, col := range list.Collections {
			c.collection(ctx, col, check)
		}
	}
	held := 0
	for _, ch := range checks {
		if ch.Held {
			held++
		}
	}
	if done, err := p.value(checks); done {
		if err != nil {
			return err
		}
	} else {
		var rows [][]any
		for _, ch := range checks {
			mark := "held"
			if !ch.Held {
				mark = "not held"
			}
			rows = append(rows, []any{ch.Requirement, mark, ch.Why})
		}
		p.table([]any{"requirement", "", "why"}, rows)
	}
	if held < len(checks) {
		return errNotHeld
	}
	return nil
}

func (c *ogcValidate) collection(ctx context.Context, col ogcCollection, check func(string, error) bool) {
	at := c.base() + "/collections/" + col.ID
	var one ogcCollection
	_, err := c.get(ctx, at, &one)
	if err == nil && one.ID != col.ID {
		err = fmt.Errorf("its id is %q", one.ID)
	}
	check("A.2.6 collection "+col.ID, err)
	var items ogcItems
	resp, err := c.get(ctx, at+"/items?limit=3", &items)
	switch {
	case err != nil:
	case !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/geo+json"):
		err = fmt.Errorf("content type %q", resp.Header.Get("Content-Type"))
	case len(items.Features) > 3:
		err = fmt.Errorf("%d features for a limit of 3", len(items.Features))
	case items.Returned != nil && *items.Returned != len(items.Features):
		err = fmt.Errorf("numberReturned %d, %d there", *items.Returned, len(items.Features))
	}
	check("A.2.7 items, limit and numberReturned of "+col.ID, err)
	if len(col.Extent.Spatial.BBox) > 0 && len(col.Extent.Spatial.BBox[0]) == 4 {
		b := col.Extent.Spatial.BBox[0]
		var in ogcItems
		_, err = c.get(ctx, fmt.Sprintf("%s/items?limit=1&bbox=%g,%g,%g,%g", at, b[0], b[1], b[2], b[3]), &in)
		check("A.2.7 bbox of "+col.ID, err)
	}
	for name, query := range map[string]string{"a bad bbox": "bbox=1,2,3", "an unknown parameter": "nothing_has_this_name=1", "a bad datetime": "datetime=never", "a bad limit": "limit=0"} {
		var any map[string]any
		resp, err := c.get(ctx, at+"/items?"+query, &any)
		if resp != nil && resp.StatusCode == http.StatusBadRequest {
			err = nil
		} else if err == nil {
			err = errors.New("it was taken")
		}
		check("A.2.7 "+name+" is refused with 400 for "+col.ID, err)
	}
	if len(items.Features) > 0 {
		var id string
		if json.Unmarshal(items.Features[0].ID, &id) == nil {
			var f struct {
				ID string `json:"id"`
			}
			_, err := c.get(ctx, at+"/items/"+url.PathEscape(id), &f)
			if err == nil && f.ID != id {
				err = fmt.Errorf("its id is %q", f.ID)
			}
			check("A.2.8 one feature of "+col.ID, err)
		}
	}
}
