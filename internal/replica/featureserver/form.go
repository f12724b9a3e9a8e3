package featureserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"birchcart/internal/feature"
)

// Request is the GET of a shard's features, to a server whose items have the properties square and id and come in the
// order of id.
func Request(r *feature.Request, shard int, host string) string {
	quote := func(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
	var squares []string
	for _, sq := range r.Squares[shard] {
		squares = append(squares, quote(sq))
	}
	filter := "square IN (" + strings.Join(squares, ",") + ")"
	if after := r.Start(shard); after != "" {
		filter += " AND id > " + quote(after)
	}
	if r.ID != "" {
		filter += " AND id = " + quote(r.ID)
	}
	if r.Filter != "" {
		filter += " AND (" + r.Filter + ")"
	}
	q := url.Values{"limit": {strconv.Itoa(r.Limit)}, "filter-lang": {"cql2-text"}, "filter": {filter}}
	if r.BBox != nil {
		q.Set("bbox", fmt.Sprintf("%g,%g,%g,%g", r.BBox[0], r.BBox[1], r.BBox[2], r.BBox[3]))
	}
	if r.From != "" || r.To != "" {
		open := func(s string) string {
			if s == "" {
				return ".."
			}
			return s
		}
		q.Set("datetime", open(r.From)+"/"+open(r.To))
	}
	return "GET /collections/" + url.PathEscape(r.Collection) + "/items?" + q.Encode() + " HTTP/1.1\r\nHost: " + host +
		"\r\nAccept: application/geo+json\r\nUser-Agent: birchcart\r\n\r\n"
}

// Value turns a FeatureCollection into what frames would carry for the shard, and checks it as such.
func Value(body []byte, r *feature.Request, shard int) ([]byte, error) {
	var form struct {
		Type     string            `json:"type"`
		Features []json.RawMessage `json:"features"`
		Matched  *int              `json:"numberMatched"`
		Links    []struct {
			Rel string `json:"rel"`
		} `json:"links"`
	}
	if err := json.Unmarshal(body, &form); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if form.Type != "FeatureCollection" || form.Features == nil {
		return nil, errors.New("body: no FeatureCollection")
	}
	v := feature.Value{Matched: -1}
	for _, raw := range form.Features {
		f, err := feature.Parse(raw)
		if err != nil {
			return nil, err
		}
		v.Features = append(v.Features, *f)
	}
	for _, l := range form.Links {
		v.More = v.More || l.Rel == "next"
	}
	if form.Matched != nil && r.Start(shard) == "" { // behind an id it counts less than all
		v.Matched = *form.Matched
	}
	out := v.Encode()
	if len(out) > feature.ValueMost {
		return nil, fmt.Errorf("body: %d bytes of features; at most %d", len(out), feature.ValueMost)
	}
	_, err := feature.Read(out, r, shard)
	return out, err
}
