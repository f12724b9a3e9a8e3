package h1

import "strings"

// Request is one request. Body holds until the next one is split off.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the client wants the connection closed after the answer
}

// RequestSplitter cuts the requests of one connection. Its Split goes to a bufio.Scanner; each token that
// comes out is a whole request, which Request then holds.
type RequestSplitter struct {
	Limits  Limits
	Request Request
	// Expects tells that a head has come whose client waits for a word before it sends the body.
	Expects bool

	expects bool
	seen    int // bytes that earlier looks went over
	blanks  int // empty lines before the request
	head    int // length of the head, 0 until it is there
	how     framing
	at      int    // chunks: where the next one starts
	body    []byte // chunks: what has come
}

// Split is a bufio.SplitFunc.
func (s *RequestSplitter) Split(data []byte, atEOF bool) (int, []byte, error) {
	skip := 0
	if s.head == 0 {
		for n := blank(data); n > 0; n = blank(data[skip:]) { // passed over before a request (RFC 9112, 2.2)
			skip += n
			if s.blanks++; s.blanks > blanksMost {
				return 0, nil, bad("nothing but empty lines")
			}
		}
	}
	n, token, err := s.split(data[skip:], atEOF)
	return skip + n, token, err
}

func (s *RequestSplitter) split(data []byte, atEOF bool) (int, []byte, error) {
	if s.head == 0 {
		n, err := findHead(data, s.seen, s.Limits.Head)
		if s.seen = len(data); err != nil {
			return 0, nil, err
		}
		if n == 0 {
			return s.wait(data, atEOF)
		}
		if err := s.parse(data[:n]); err != nil {
			return 0, nil, err
		}
		s.head, s.at, s.body = n, n, nil
		s.Expects = s.expects
	}
	end := s.head + max(0, s.how.length)
	if s.how.chunked {
		var err error
		if end, err = s.chunks(data); err != nil {
			return 0, nil, err
		}
	}
	if end == 0 || end > len(data) {
		return s.wait(data, atEOF)
	}
	if s.Request.Body = s.body; !s.how.chunked {
		s.Request.Body = data[s.head:end]
	}
	s.seen, s.head, s.blanks, s.body, s.Expects = 0, 0, 0, nil, false
	return end, data[:end], nil
}

func (s *RequestSplitter) wait(data []byte, atEOF bool) (int, []byte, error) {
	if atEOF && len(data) > 0 {
		return 0, nil, ErrCut
	}
	return 0, nil, nil
}

// blanksMost is how many empty lines may stand before a request.
const blanksMost = 8

func blank(data []byte) int {
	if len(data) >= 2 && data[0] == '\r' && data[1] == '\n' {
		return 2
	}
	return 0
}

func (s *RequestSplitter) parse(head []byte) error {
	first, h, err := parseHead(head)
	if err != nil {
		return err
	}
	f := strings.Split(first, " ")
	if len(f) != 3 || !token(f[0]) || !strings.HasPrefix(f[1], "/") {
		return bad("request line %q", first)
	}
	version, ok := strings.CutPrefix(f[2], "HTTP/1.")
	switch {
	case !ok || len(version) != 1:
		if strings.HasPrefix(f[2], "HTTP/") {
			return &Error{505, "version " + f[2]}
		}
		return bad("request line %q", first)
	case version != "0" && h.Get("Host") == "":
		return bad("no host")
	}
	s.expects = strings.EqualFold(h.Get("Expect"), "100-continue")
	if !s.expects && h.Get("Expect") != "" {
		return &Error{417, "expectation " + h.Get("Expect")}
	}
	if s.how, err = h.framing(); err != nil {
		return err
	}
	if s.how.length > s.Limits.Body {
		return &Error{413, "body over the limit"}
	}
	s.Request = Request{Method: f[0], Target: f[1], Header: h, Close: h.closes(version[0])}
	return nil
}

// chunks takes in what has come of the chunks and returns the end of the last one's trailer, 0 until that is
// there.
func (s *RequestSplitter) chunks(data []byte) (int, error) {
	for {
		size, line, err := chunkSize(data[s.at:])
		if err != nil || line == 0 {
			return 0, err
		}
		if size == 0 {
			n, err := trailer(data[s.at+line:], s.Limits.Head)
			if err != nil || n == 0 {
				return 0, err
			}
			return s.at + line + n, nil
		}
		if len(s.body)+size > s.Limits.Body {
			return 0, &Error{413, "body over the limit"}
		}
		from := s.at + line
		if len(data) < from+size+2 {
			return 0, nil
		}
		if data[from+size] != '\r' || data[from+size+1] != '\n' {
			return 0, bad("chunk without its end")
		}
		s.body = append(s.body, data[from:from+size]...)
		s.at = from + size + 2
	}
}
