package h1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// once gives its text in one read; a second read fails the test, since it would block on a connection.
type once struct {
	t    *testing.T
	text string
	done bool
}

func (o *once) Read(p []byte) (int, error) {
	if o.done {
		return 0, errors.New("read again though all had come")
	}
	o.done = true
	return copy(p, o.text), nil
}

// Guards against news of the list that lie in the buffer until the next pulse: a scanner reads again after a
// split that gave no token, so a splitter must not return between the size of a chunk and its bytes.
func TestWhatHasComeIsGivenWithoutAnotherRead(t *testing.T) {
	s := &ResponseSplitter{Limits: Limits{Head: 1000}}
	in := bufio.NewScanner(&once{t: t, text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"1\r\n\n\r\n5\r\nfirst\r\n6\r\nsecond\r\n"})
	in.Split(s.Split)
	var got []string
	for len(got) < 4 && in.Scan() {
		got = append(got, in.Text())
	}
	if len(got) < 4 || strings.Join(got[1:], "|") != "\n|first|second" {
		t.Fatalf("got %q, %v", got, in.Err())
	}
}

func TestRequestAfterAnEmptyLineNeedsNoFurtherRead(t *testing.T) {
	s := &RequestSplitter{Limits: Limits{Head: 1000, Body: 100}}
	in := bufio.NewScanner(&once{t: t, text: "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n"})
	in.Split(s.Split)
	if !in.Scan() || s.Request.Target != "/a" {
		t.Fatalf("%+v, %v", s.Request, in.Err())
	}
}

func read(text string, oneByte bool) ([]Request, error) {
	s := &RequestSplitter{Limits: Limits{Head: 200, Body: 20}}
	var r io.Reader = strings.NewReader(text)
	if oneByte {
		r = iotest.OneByteReader(r)
	}
	in := bufio.NewScanner(r)
	in.Split(s.Split)
	var out []Request
	for in.Scan() {
		r := s.Request
		r.Body = []byte(string(r.Body))
		out = append(out, r)
	}
	return out, in.Err()
}

func TestRequests(t *testing.T) {
	for _, oneByte := range []bool{false, true} {
		got, err := read("POST /a/b?c HTTP/1.1\r\nHost: h\r\nx-id:  7 \r\nContent-Length: 3\r\n\r\nabc"+
			"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"+
			"2;x=y\r\nde\r\n1\r\nf\r\n0\r\nTrailer: x\r\n\r\nGET /e HTTP/1.0\r\n\r\n", oneByte)
		if err != nil || len(got) != 3 {
			t.Fatalf("%d requests, %v", len(got), err)
		}
		a, b, c := got[0], got[1], got[2]
		if a.Method != "POST" || FirstSegment(a.Target) != "a" || a.Header.Get("X-ID") != "7" || string(a.Body) != "abc" || a.Close {
			t.Errorf("%+v", a)
		}
		if string(b.Body) != "def" || !b.Close {
			t.Errorf("%+v", b)
		}
		if c.Target != "/e" || len(c.Body) != 0 || !c.Close {
			t.Errorf("%+v", c)
		}
	}
}

func TestBadRequests(t *testing.T) {
	const ok = "POST /a HTTP/1.1\r\nHost: h\r\n"
	for text, status := range map[string]int{
		"nonsense\r\n\r\n":                                                   400,
		"GET  /a HTTP/1.1\r\n\r\n":                                           400,
		"GET a HTTP/1.1\r\nHost: h\r\n\r\n":                                  400,
		"GET /a HTTP/2.0\r\nHost: h\r\n\r\n":                                 505,
		"GET /a HTTP/1.1\r\n\r\n":                                            400,
		"G\x00T /a HTTP/1.1\r\nHost: h\r\n\r\n":                              400,
		ok + "no colon\r\n\r\n":                                              400,
		ok + "a b: c\r\n\r\n":                                                400,
		ok + " folded: c\r\n\r\n":                                            400,
		ok + "a: b\nc: d\r\n\r\n":                                            400,
		ok + "Expect: the-moon\r\n\r\n":                                      417,
		ok + "Content-Length: x\r\n\r\n":                                     400,
		ok + "Content-Length: -1\r\n\r\n":                                    400,
		ok + "Content-Length: 1, 2\r\n\r\n":                                  400,
		ok + "Content-Length: 21\r\n\r\n":                                    413,
		ok + "Content-Length: 99999999999999\r\n\r\n":                        413,
		ok + "Transfer-Encoding: gzip\r\n\r\n":                               501,
		ok + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n":       400,
		ok + "Transfer-Encoding: chunked\r\n\r\nx\r\n":                       400,
		ok + "Transfer-Encoding: chunked\r\n\r\n\r\n":                        400,
		ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n":                 413,
		ok + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n":                400,
		ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc":                    400,
		ok + "Transfer-Encoding: chunked\r\n\r\n1\n":                         400,
		ok + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 300): 400,
		ok + "a: " + strings.Repeat("x", 300):                                431,
	} {
		for _, oneByte := range []bool{false, true} {
			_, err := read(text, oneByte)
			var e *Error
			if !errors.As(err, &e) || e.Status != status {
				t.Errorf("%q: %v, want %d", text, err, status)
			}
		}
	}
	if _, err := read(ok+"Content-Length: 3\r\n\r\nab", false); !errors.Is(err, ErrCut) {
		t.Errorf("a body cut short: %v", err)
	}
}

func TestResponses(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd":                                      "abcd",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx":            "x",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n": "abcde",
		"HTTP/1.0 200 OK\r\n\r\nto the end":                                                     "to the end",
	} {
		for _, oneByte := range []bool{false, true} {
			s := &ResponseSplitter{Limits: Limits{Head: 200, Body: 20}}
			var r io.Reader = strings.NewReader(text)
			if oneByte {
				r = iotest.OneByteReader(r)
			}
			in := bufio.NewScanner(r)
			in.Split(s.Split)
			var got string
			for !s.Done && in.Scan() {
				if s.inBody && len(in.Bytes()) > 0 && !strings.HasPrefix(in.Text(), "HTTP/") {
					got += in.Text()
				}
			}
			if got != want || !s.Done || s.Status != 200 {
				t.Errorf("%q: got %q, done %v, %v", text, got, s.Done, in.Err())
			}
		}
	}
}

func TestBadResponses(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "ICY 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + strings.Repeat("x", 40),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	} {
		s := &ResponseSplitter{Limits: Limits{Head: 200, Body: 20}}
		in := bufio.NewScanner(strings.NewReader(text))
		in.Split(s.Split)
		for !s.Done && in.Scan() {
		}
		if in.Err() == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// A client that expects a word sends its body only then: the head alone must show it.
func TestExpectation(t *testing.T) {
	s := &RequestSplitter{Limits: Limits{Head: 200, Body: 20}}
	head := []byte("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	if n, token, err := s.Split(head, false); n != 0 || token != nil || err != nil || !s.Expects {
		t.Fatalf("%d %q %v, expects %v", n, token, err, s.Expects)
	}
	if _, token, err := s.Split(append(head, "abc"...), false); token == nil || err != nil || s.Expects || string(s.Request.Body) != "abc" {
		t.Fatalf("%q %v, expects %v", token, err, s.Expects)
	}
}

func TestWrite(t *testing.T) {
	b := AppendResponse(nil, 503, Header{{"Retry-After", "0.200"}}, nil, true)
	if string(b) != "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" {
		t.Errorf("%q", b)
	}
	got, err := read(string(AppendGet(nil, "/x?a=1", "h")), false)
	if err != nil || len(got) != 1 || got[0].Target != "/x?a=1" {
		t.Errorf("%+v, %v", got, err)
	}
}

// Whatever comes, cut anywhere, a splitter neither fails nor takes more than its limits.
func FuzzRequest(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	f.Add("\r\nGET / HTTP/1.0\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\nContent-Length: +3\r\n\r\nabc")
	f.Add("\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		whole, e1 := read(text, false)
		bytes, e2 := read(text, true)
		if len(whole) != len(bytes) || (e1 == nil) != (e2 == nil) {
			t.Fatalf("in one read %d, %v; byte by byte %d, %v", len(whole), e1, len(bytes), e2)
		}
		for i := range whole {
			if string(whole[i].Body) != string(bytes[i].Body) || len(whole[i].Body) > 20 {
				t.Fatalf("bodies %q and %q", whole[i].Body, bytes[i].Body)
			}
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := &ResponseSplitter{Limits: Limits{Head: 200, Body: 20}}
		in := bufio.NewScanner(strings.NewReader(text))
		in.Split(s.Split)
		total := 0
		for !s.Done && in.Scan() {
			if s.inBody && !strings.HasPrefix(in.Text(), "HTTP/") {
				total += len(in.Bytes())
			}
		}
		if total > 20 {
			t.Fatalf("took %d bytes", total)
		}
	})
}
