package front

import (
	"strings"
	"testing"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
)

// Invalid requests get an error status, and nothing of them is submitted.
func TestBadInput(t *testing.T) {
	st := newTestServer(t, nil)
	good := queryRequest("a", "", validBody)
	for name, in := range map[string]struct {
		text   string
		status int
	}{
		"class":                {strings.Replace(good, "/search", "/other", 1), 404},
		"root":                 {strings.Replace(good, "/search/x", "/", 1), 404},
		"method":               {"GET /search HTTP/1.1\r\nHost: h\r\n\r\n", 405},
		"tenant":               {strings.Replace(good, "acme", "nobody", 1), 400},
		"no tenant":            {strings.Replace(good, "X-Tenant-Id: acme\r\n", "", 1), 400},
		"no id":                {strings.Replace(good, "X-Request-ID: a\r\n", "", 1), 400},
		"id with space":        {queryRequest("a b", "", validBody), 400},
		"long id":              {queryRequest(strings.Repeat("x", 65), "", validBody), 400},
		"no timeout":           {strings.Replace(good, "X-Timeout-Ms: 480\r\n", "", 1), 400},
		"negative timeout":     {strings.Replace(good, "480", "-40", 1), 400},
		"zero timeout":         {strings.Replace(good, "480", "000", 1), 400},
		"fractional timeout":   {strings.Replace(good, "480", "4.8", 1), 400},
		"huge timeout":         {strings.Replace(good, "480", "99999999999999999999", 1), 400},
		"no JSON":              {queryRequest("a", "", "nonsense"), 400},
		"two JSON texts":       {queryRequest("a", "", validBody+validBody), 400},
		"array":                {queryRequest("a", "", "[]"), 400},
		"no buckets":           {queryRequest("a", "", `{"body":"x"}`), 400},
		"no text":              {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1}]}`), 400},
		"not UTF-8":            {queryRequest("a", "", "{\"buckets\":[{\"bucket\":1,\"part\":1}],\"body\":\"\xff\"}"), 400},
		"shard":                {queryRequest("a", "", `{"buckets":[{"bucket":10,"part":1}],"body":"x"}`), 400},
		"negative shard":       {queryRequest("a", "", `{"buckets":[{"bucket":-1,"part":1}],"body":"x"}`), 400},
		"duplicate shard":      {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":0.5},{"bucket":1,"part":0.5}],"body":"x"}`), 400},
		"no share":             {queryRequest("a", "", `{"buckets":[{"bucket":1}],"body":"x"}`), 400},
		"zero share":           {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":0}],"body":"x"}`), 400},
		"sum over 1":           {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":0.9},{"bucket":2,"part":0.9}],"body":"x"}`), 400},
		"keyed":                {strings.Replace(queryRequest("a", "Idempotency-Key: k\r\n", validBody), "/search", "/keyed", 1), 501},
		"sum under 1":          {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":0.5}],"body":"x"}`), 400},
		"share over 1":         {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1.5}],"body":"x"}`), 400},
		"negative share":       {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1.5},{"bucket":2,"part":-0.5}],"body":"x"}`), 400},
		"huge share":           {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1e999}],"body":"x"}`), 400},
		"negative work":        {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1,"effort":-1}],"body":"x"}`), 400},
		"huge effort":          {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1,"effort":1e300}],"body":"x"}`), 400},
		"invalid seed":         {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1,"seed":"xyz"}],"body":"x"}`), 400},
		"duplicate key":        {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1}],"body":"x","body":"y"}`), 400},
		"nested duplicate key": {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1,"Bucket":2}],"body":"x"}`), 400},
		"unpaired surrogate":   {queryRequest("a", "", `{"buckets":[{"bucket":1,"part":1}],"body":"\ud800"}`), 400},
		"deep nesting":         {queryRequest("a", "", strings.Repeat("[", 10000)), 400},
		"signed timeout":       {strings.Replace(good, "480", "+480", 1), 400},
		"excessive timeout":    {strings.Replace(good, "480", "999999999", 1), 400},
		"two timeouts":         {queryRequest("a", "X-Timeout-Ms: 9\r\n", validBody), 400},
		"two ids":              {queryRequest("a", "X-Request-ID: a\r\n", validBody), 400},
		"id with dot":          {queryRequest("a.3", "", validBody), 400},
		"two lengths":          {queryRequest("a", "Content-Length: 5\r\n", validBody), 400},
		"two framings":         {queryRequest("a", "Transfer-Encoding: chunked\r\n", validBody), 400},
		"empty lines":          {strings.Repeat("\r\n", 20), 400},
		"over 64 KiB":          {queryRequest("a", "", strings.Repeat(" ", 64<<10+1)), 413},
		"long head":            {queryRequest("a", "X: "+strings.Repeat("x", 3000)+"\r\n", validBody), 431},
		"request line":         {"NONSENSE\r\n\r\n", 400},
		"binary":               {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
	} {
		c := st.dial()
		c.nc.Write([]byte(in.text))
		if r, _ := c.readResponse(); r.StatusCode != in.status {
			t.Errorf("%s: %d, want %d", name, r.StatusCode, in.status)
		}
	}
	st.expectNoQuery()
	c := st.dial()
	c.write(good) // valid requests are still served
	st.nextQuery().Reply(exchange.Reply{})
	c.expectStatus(200)
}

// An invalid query and a malformed request both end the connection after the error response, which frees its slot, and
// nothing behind them is parsed: a request hidden in the body of one with two framings is not submitted.
func TestBadInputEndsTheConnection(t *testing.T) {
	st := newTestServer(t, nil)
	for _, bad := range []string{
		queryRequest("a", "", "nonsense"), "nonsense\r\n\r\n", queryRequest("a", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
	} {
		c := st.dial()
		c.write(queryRequest("a", "", validBody))
		st.nextQuery().Reply(exchange.Reply{})
		c.expectStatus(200)
		c.write(bad + queryRequest("b", "", validBody))
		if r := c.expectStatus(400); !r.Close {
			t.Errorf("%q: the connection is kept", bad)
		}
		c.expectClosed()
	}
	st.expectNoQuery()
}

// Whatever a body contains, the parts that are accepted from it are valid.
func FuzzBody(f *testing.F) {
	f.Add([]byte(validBody))
	f.Add([]byte(`{"buckets":[{"bucket":1,"part":0.9},{"bucket":1,"part":0.1}],"body":"x"}`))
	f.Add([]byte(`{"buckets":[{"bucket":-0,"part":1e0,"effort":null}],"body":"\ud83d\ude00","Body":1}`))
	f.Add([]byte(`[[[[{"a":[{}],"b":{"a":1}}]]]]`))
	s := &Server{shards: 10, limits: config.Limits{MostWork: 3600}}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var q exchange.Query
		if s.parseBody(&q, raw) != nil {
			return
		}
		sum, seen := 0.0, map[int]bool{}
		for _, p := range q.Parts {
			if p.Shard < 0 || p.Shard >= 10 || seen[p.Shard] || !(p.Weight > 0) || !(p.Work >= 0 && p.Work <= 3600) {
				t.Errorf("%q: %+v", raw, p)
			}
			seen[p.Shard] = true
			sum += p.Weight
		}
		if !(sum > 0.99 && sum < 1.01) {
			t.Errorf("%q: the weights add up to %v", raw, sum)
		}
	})
}
