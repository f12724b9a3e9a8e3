package front

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"birchcart/internal/exchange"
	"birchcart/internal/h1"
	"birchcart/internal/settings"
)

// body is what a client posts.
type requestBody struct {
	Buckets []bucket `json:"buckets"`
	Body    *string  `json:"body"`
}

type bucket struct {
	Bucket *int     `json:"bucket"`
	Part   *float64 `json:"part"`
	Effort *float64 `json:"effort"`
	Seed   *string  `json:"seed"`
}

const (
	microsecond     = 1e-6
	weightTolerance = 1e-3 // of the whole: shares may be rounded
	seedDigits      = 16
	maxNestingDepth = 16 // objects and arrays within each other
)

func invalidRequest(status int, reason string) error {
	return &h1.Error{Status: status, Reason: reason}
}

// parse reads a query; whatever is not of the form is told apart here, before anything is sent. A replica drops the
// whole connection over what it can't read, so nothing that is in doubt passes.
func (s *Server) parseQuery(r *h1.Request, at time.Time) (*exchange.Query, error) {
	class := settings.Place(s.names.Classes, h1.FirstSegment(r.Target))
	if class < 0 {
		return nil, invalidRequest(404, "unknown class")
	}
	if r.Method != "POST" {
		return nil, invalidRequest(405, "method "+r.Method)
	}
	if s.idempotencyKeyed[class] && r.Header.Get("Idempotency-Key") != "" {
		// The frames have no field for it, and replicas close the connection, with all that is out on it, over
		// a part that comes without.
		return nil, invalidRequest(501, "the frames can't carry the key of this class")
	}
	for _, name := range []string{"X-Request-ID", "X-Tenant-Id", "X-Timeout-Ms", "X-Retried"} {
		if r.Header.Count(name) > 1 { // which one holds?
			return nil, invalidRequest(400, name+" twice")
		}
	}
	q := &exchange.Query{ID: r.Header.Get("X-Request-ID"), Class: class, Tenant: -1, Received: at}
	if !validID(q.ID, s.limits.IDBytes) {
		return nil, invalidRequest(400, "request id")
	}
	if len(s.names.Tenants) > 0 {
		if q.Tenant = settings.Place(s.names.Tenants, r.Header.Get("X-Tenant-Id")); q.Tenant < 0 {
			return nil, invalidRequest(400, "unknown tenant")
		}
	}
	ms, err := strconv.ParseUint(r.Header.Get("X-Timeout-Ms"), 10, 32)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || wait > s.limits.Longest {
		return nil, invalidRequest(400, "time-out")
	}
	if most := s.maxClientWait[class]; most > 0 { // guards against queries that are held for an hour
		wait = min(wait, most)
	}
	q.Due = at.Add(wait)
	if end := s.lastReplyBy.Load(); end != nil && q.Due.After(*end) {
		q.Due = *end
	}
	q.Retry = r.Header.Get("X-Retried") == "1"
	if s.sessionHeader != "" {
		switch n := r.Header.Count(s.sessionHeader); {
		case n > 1: // which one holds?
			return nil, invalidRequest(400, s.sessionHeader+" twice")
		case n == 1:
			if q.Session = r.Header.Get(s.sessionHeader); q.Session == "" {
				return nil, invalidRequest(400, "empty key of a session")
			}
		}
	}
	if s.laneHeader != "" {
		if r.Header.Count(s.laneHeader) > 1 { // which one holds?
			return nil, invalidRequest(400, s.laneHeader+" twice")
		}
		q.LaneMark = r.Header.Get(s.laneHeader)
	}
	if err := s.parseBody(q, r.Body); err != nil {
		return nil, err
	}
	return q, nil
}

// parseBody takes the parts and the text.
func (s *Server) parseBody(q *exchange.Query, raw []byte) error {
	if !utf8.Valid(raw) {
		return invalidRequest(400, "body is not text")
	}
	if err := checkDuplicateKeys(raw); err != nil {
		return invalidRequest(400, "body: "+err.Error())
	}
	var b requestBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return invalidRequest(400, "body: "+err.Error())
	}
	if len(b.Buckets) == 0 || b.Body == nil {
		return invalidRequest(400, "body lacks buckets or text")
	}
	if strings.ContainsRune(*b.Body, utf8.RuneError) && !bytes.ContainsRune(raw, utf8.RuneError) {
		return invalidRequest(400, "text that can't be had unchanged") // half of a pair of escapes
	}
	q.Text = []byte(*b.Body)
	seen := make(map[int]bool, len(b.Buckets))
	sum := 0.0
	for _, p := range b.Buckets {
		switch {
		case p.Bucket == nil || *p.Bucket < 0 || *p.Bucket >= s.shards || seen[*p.Bucket]:
			return invalidRequest(400, "bucket unknown or twice")
		case p.Part == nil || !(*p.Part > 0 && *p.Part <= 1+weightTolerance):
			return invalidRequest(400, "part of a bucket")
		case p.Seed != nil && !isSeed(*p.Seed):
			return invalidRequest(400, "seed of a bucket")
		}
		part := exchange.Part{Shard: *p.Bucket, Weight: *p.Part}
		if p.Effort != nil {
			if part.Work = *p.Effort * microsecond; !(part.Work >= 0 && part.Work <= s.limits.MostWork) {
				return invalidRequest(400, "effort of a bucket")
			}
		}
		seen[*p.Bucket] = true
		sum += *p.Part
		q.Parts = append(q.Parts, part)
	}
	if math.Abs(sum-1) > weightTolerance {
		return invalidRequest(400, "parts are not a whole")
	}
	return nil
}

// once finds a key that stands twice in an object: which of them holds is anybody's guess. Keys are compared as the
// decoder does, without regard to case.
func checkDuplicateKeys(raw []byte) error {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.UseNumber()
	type level struct {
		keys  map[string]bool // nil in an array
		value bool            // the next token is a value
	}
	var open []level
	for {
		t, err := in.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		top := len(open) - 1
		switch d, _ := t.(json.Delim); {
		case (d == '{' || d == '[') && top+1 >= maxNestingDepth:
			return invalidRequest(400, "too deep")
		case d == '{':
			open = append(open, level{keys: map[string]bool{}})
			continue
		case d == '[':
			open = append(open, level{})
			continue
		case d == '}' || d == ']':
			if open, top = open[:top], top-1; top >= 0 {
				open[top].value = false
			}
			continue
		case top < 0 || open[top].keys == nil:
			continue
		case open[top].value:
			open[top].value = false
			continue
		}
		key := strings.ToLower(t.(string))
		if open[top].keys[key] {
			return invalidRequest(400, "key "+strconv.Quote(key)+" twice")
		}
		open[top].keys[key], open[top].value = true, true
	}
}

func isSeed(s string) bool {
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil && len(s) == seedDigits
}

// validID says whether an id can stand in a frame's line, where a part's id is the query's, a dot and the shard: a
// dot or a sign of the list within it could make it another's.
func validID(id string, most int) bool {
	if id == "" || len(id) > most {
		return false
	}
	for i := range len(id) {
		switch c := id[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
