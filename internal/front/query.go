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

// requestBody is the JSON body of a query.
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
	weightTolerance = 1e-3 // permitted deviation of the sum of weights from 1: weights may be rounded
	seedDigits      = 16
	maxNestingDepth = 16 // of JSON objects and arrays
)

func invalidRequest(status int, reason string) error {
	return &h1.Error{Status: status, Reason: reason}
}

// parseQuery parses and validates a request. A replica closes its whole connection on input that it can't parse, so
// everything malformed or ambiguous is rejected here, before anything is sent to a replica.
func (s *Server) parseQuery(r *h1.Request, at time.Time) (*exchange.Query, error) {
	class := settings.Place(s.names.Classes, h1.FirstSegment(r.Target))
	if class < 0 {
		return nil, invalidRequest(404, "unknown class")
	}
	if r.Method != "POST" {
		return nil, invalidRequest(405, "method "+r.Method)
	}
	if s.idempotencyKeyed[class] && r.Header.Get("Idempotency-Key") != "" {
		// Replica frames have no field for the key, and a replica that receives a part of such a query without its key
		// closes the connection together with all attempts in flight on it.
		return nil, invalidRequest(501, "an idempotency key can't be forwarded to replicas for this class")
	}
	for _, name := range []string{"X-Request-ID", "X-Tenant-Id", "X-Timeout-Ms", "X-Retried"} {
		if r.Header.Count(name) > 1 { // ambiguous
			return nil, invalidRequest(400, name+" header appears more than once")
		}
	}
	q := &exchange.Query{ID: r.Header.Get("X-Request-ID"), Class: class, Tenant: -1, Received: at}
	if !validID(q.ID, s.limits.IDBytes) {
		return nil, invalidRequest(400, "invalid request id")
	}
	if len(s.names.Tenants) > 0 {
		if q.Tenant = settings.Place(s.names.Tenants, r.Header.Get("X-Tenant-Id")); q.Tenant < 0 {
			return nil, invalidRequest(400, "unknown tenant")
		}
	}
	ms, err := strconv.ParseUint(r.Header.Get("X-Timeout-Ms"), 10, 32)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || ms == 0 || wait > s.limits.Longest {
		return nil, invalidRequest(400, "invalid timeout")
	}
	if maxWait := s.maxClientWait[class]; maxWait > 0 { // guards against queries that are held for an hour
		wait = min(wait, maxWait)
	}
	q.Due = at.Add(wait)
	if end := s.lastReplyBy.Load(); end != nil && q.Due.After(*end) {
		q.Due = *end
	}
	q.Retry = r.Header.Get("X-Retried") == "1"
	if s.sessionHeader != "" {
		switch n := r.Header.Count(s.sessionHeader); {
		case n > 1: // ambiguous
			return nil, invalidRequest(400, s.sessionHeader+" header appears more than once")
		case n == 1:
			if q.Session = r.Header.Get(s.sessionHeader); q.Session == "" {
				return nil, invalidRequest(400, "empty session key")
			}
		}
	}
	if s.laneHeader != "" {
		if r.Header.Count(s.laneHeader) > 1 { // ambiguous
			return nil, invalidRequest(400, s.laneHeader+" header appears more than once")
		}
		q.LaneMark = r.Header.Get(s.laneHeader)
	}
	if err := s.parseBody(q, r.Body); err != nil {
		return nil, err
	}
	return q, nil
}

// parseBody parses and validates a query's parts and text.
func (s *Server) parseBody(q *exchange.Query, raw []byte) error {
	if !utf8.Valid(raw) {
		return invalidRequest(400, "body is not valid UTF-8")
	}
	if err := checkDuplicateKeys(raw); err != nil {
		return invalidRequest(400, "body: "+err.Error())
	}
	var b requestBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return invalidRequest(400, "body: "+err.Error())
	}
	if len(b.Buckets) == 0 || b.Body == nil {
		return invalidRequest(400, "body has no buckets or no text")
	}
	if strings.ContainsRune(*b.Body, utf8.RuneError) && !bytes.ContainsRune(raw, utf8.RuneError) {
		// The decoder replaced an unpaired surrogate escape by U+FFFD, so the text would not be forwarded unchanged.
		return invalidRequest(400, "text contains an unpaired surrogate escape")
	}
	q.Text = []byte(*b.Body)
	seen := make(map[int]bool, len(b.Buckets))
	sum := 0.0
	for _, p := range b.Buckets {
		switch {
		case p.Bucket == nil || *p.Bucket < 0 || *p.Bucket >= s.shards || seen[*p.Bucket]:
			return invalidRequest(400, "missing, unknown or duplicate bucket")
		case p.Part == nil || !(*p.Part > 0 && *p.Part <= 1+weightTolerance):
			return invalidRequest(400, "missing or invalid part of a bucket")
		case p.Seed != nil && !isSeed(*p.Seed):
			return invalidRequest(400, "invalid seed of a bucket")
		}
		part := exchange.Part{Shard: *p.Bucket, Weight: *p.Part}
		if p.Effort != nil {
			if part.Work = *p.Effort * microsecond; !(part.Work >= 0 && part.Work <= s.limits.MostWork) {
				return invalidRequest(400, "invalid effort of a bucket")
			}
		}
		seen[*p.Bucket] = true
		sum += *p.Part
		q.Parts = append(q.Parts, part)
	}
	if math.Abs(sum-1) > weightTolerance {
		return invalidRequest(400, "parts of the buckets do not add up to 1")
	}
	return nil
}

// checkDuplicateKeys rejects JSON in which an object has the same key twice, since it is ambiguous which value applies.
// Keys are compared without regard to case, as the decoder does. It also rejects JSON that is nested too deeply.
func checkDuplicateKeys(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	type level struct {
		keys         map[string]bool // nil in an array
		expectsValue bool            // the next token is a value
	}
	var stack []level
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		top := len(stack) - 1
		switch delim, _ := token.(json.Delim); {
		case (delim == '{' || delim == '[') && top+1 >= maxNestingDepth:
			return invalidRequest(400, "nested too deeply")
		case delim == '{':
			stack = append(stack, level{keys: map[string]bool{}})
			continue
		case delim == '[':
			stack = append(stack, level{})
			continue
		case delim == '}' || delim == ']':
			if stack, top = stack[:top], top-1; top >= 0 {
				stack[top].expectsValue = false
			}
			continue
		case top < 0 || stack[top].keys == nil:
			continue
		case stack[top].expectsValue:
			stack[top].expectsValue = false
			continue
		}
		key := strings.ToLower(token.(string))
		if stack[top].keys[key] {
			return invalidRequest(400, "key "+strconv.Quote(key)+" appears more than once")
		}
		stack[top].keys[key], stack[top].expectsValue = true, true
	}
}

func isSeed(s string) bool {
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil && len(s) == seedDigits
}

// validID reports whether a request id can be sent in a frame, where a part's id consists of the query's id, a dot and
// the shard. A dot or a list separator within the id could turn it into the id of another part.
func validID(id string, maxLen int) bool {
	if id == "" || len(id) > maxLen {
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
