package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchcart/internal/cql"
)

// Answers is what a feature server does with a request beside answering it.
type Answers uint8

// Answers that a feature server can be told to give.
const (
	Soundly     Answers = iota
	Truncated           // a body that is shorter than its head says
	BadJSON             // a whole body that is cut JSON
	WrongType           // text/plain
	Redirect            // 302 to itself
	Huge                // 60 MB
	OtherSquare         // features that were not asked
	Error500            // it may have run
	Refusing            // 503, with the proof that it never ran
	Refusing503         // 503 without
	Hanging             // nothing at all
	Closing             // closes instead of answering
	Crawling            // a byte now and then
)

// FeatureServer serves made-up counts as an OGC feature server does, as far as co-ordinators ask.
type FeatureServer struct {
	ln     net.Listener
	counts Counts
	stop   chan struct{}

	mu      sync.Mutex
	answers Answers
	asked   int
}

// NewFeatureServer starts one on loopback.
func NewFeatureServer(c Counts) (*FeatureServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &FeatureServer{ln: ln, counts: c, stop: make(chan struct{})}
	go http.Serve(ln, http.HandlerFunc(s.serve))
	return s, nil
}

// Address is where it listens.
func (s *FeatureServer) Address() string { return s.ln.Addr().String() }

// Close ends it.
func (s *FeatureServer) Close() {
	s.ln.Close()
	close(s.stop)
}

// Set says what it does from now on.
func (s *FeatureServer) Set(a Answers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = a
}

// Asked is how many requests for items it got.
func (s *FeatureServer) Asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

func (s *FeatureServer) serve(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/items") {
		w.Write([]byte("{}"))
		return
	}
	s.mu.Lock()
	do := s.answers
	s.asked++
	s.mu.Unlock()
	body, err := s.items(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/geo+json")
	switch do {
	case Truncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+100))
		w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case BadJSON:
		w.Write(body[:len(body)/2])
	case WrongType:
		w.Header().Set("Content-Type", "text/plain")
		w.Write(body)
	case Redirect:
		http.Redirect(w, r, r.URL.String(), http.StatusFound)
	case Huge:
		junk := []byte(strings.Repeat(" ", 1<<20))
		for range 60 {
			if _, err := w.Write(junk); err != nil {
				return
			}
		}
	case OtherSquare:
		fmt.Fprint(w, `{"type":"FeatureCollection","features":[{"type":"Feature","id":"S-99.00001","geometry":null,"properties":{}}]}`)
	case Error500:
		http.Error(w, "no", http.StatusInternalServerError)
	case Refusing, Refusing503:
		if do == Refusing {
			w.Header().Set("Never-Ran", "?1")
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case Hanging:
		select {
		case <-s.stop:
		case <-r.Context().Done():
		}
	case Closing:
		panic(http.ErrAbortHandler)
	case Crawling:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		for _, b := range body {
			w.Write([]byte{b})
			w.(http.Flusher).Flush()
			select {
			case <-s.stop:
				return
			case <-r.Context().Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	default:
		w.Write(body)
	}
}

// items answers by filter, box, time and limit, in the order of ids.
func (s *FeatureServer) items(r *http.Request) ([]byte, error) {
	q := r.URL.Query()
	filter, err := cql.Parse(q.Get("filter"), CountKinds)
	if err != nil {
		return nil, err
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		return nil, err
	}
	var box []float64
	if text := q.Get("bbox"); text != "" {
		if err := json.Unmarshal([]byte("["+text+"]"), &box); err != nil || len(box) != 4 {
			return nil, fmt.Errorf("bbox %q", text)
		}
	}
	var ids []string
	raw := map[string]json.RawMessage{}
	for _, features := range s.counts {
		for i := range features {
			f := &features[i]
			if b := f.Geometry.Bound(); box != nil && (b.Min[0] < box[0] || b.Min[1] < box[1] || b.Max[0] > box[2] || b.Max[1] > box[3]) {
				continue
			}
			if filter.Match(f.Values(CountKinds)) {
				ids = append(ids, f.ID)
				raw[f.ID] = f.Raw
			}
		}
	}
	slices.Sort(ids)
	form := map[string]any{"type": "FeatureCollection", "numberMatched": len(ids)}
	if len(ids) > limit {
		ids = ids[:limit]
		form["links"] = []map[string]string{{"rel": "next", "href": "/"}}
	}
	out := []json.RawMessage{}
	for _, id := range ids {
		out = append(out, raw[id])
	}
	form["features"] = out
	return json.Marshal(form)
}
