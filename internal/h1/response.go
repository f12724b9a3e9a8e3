package h1

import (
	"strconv"
	"strings"
)

// ResponseSplitter cuts one response: the first token is its head, each further one a piece of its body as
// it arrives. Done tells that the body is whole; Next makes it ready for the next response.
type ResponseSplitter struct {
	Limits Limits // Body 0: no limit, for a stream
	Status int
	Header Header
	Close  bool
	Done   bool

	seen    int
	inBody  bool
	how     framing
	left    int // of the length, or of the chunk
	inChunk bool
	total   int
}

// Next forgets the response that was read.
func (s *ResponseSplitter) Next() { *s = ResponseSplitter{Limits: s.Limits} }

// Split is a bufio.SplitFunc. It goes on until it has a token or needs more bytes: a scanner reads again after
// each call that gave no token, even if bytes are left, and would hold back what has come already.
func (s *ResponseSplitter) Split(data []byte, atEOF bool) (int, []byte, error) {
	for at := 0; ; {
		n, token, err := s.step(data[at:], atEOF)
		if at += n; n == 0 || token != nil || err != nil {
			return at, token, err
		}
	}
}

func (s *ResponseSplitter) step(data []byte, atEOF bool) (int, []byte, error) {
	if s.Done {
		return 0, nil, nil
	}
	if !s.inBody {
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
		return n, data[:n], nil
	}
	switch {
	case s.how.chunked:
		return s.chunk(data, atEOF)
	case s.how.length < 0: // until the connection ends
		if len(data) == 0 {
			s.Done = atEOF
			return 0, nil, nil
		}
		return s.piece(data, 0, len(data))
	case len(data) == 0:
		return s.wait(data, atEOF)
	}
	n := min(s.left, len(data))
	s.left -= n
	s.Done = s.left == 0
	return s.piece(data, 0, n)
}

func (s *ResponseSplitter) wait(data []byte, atEOF bool) (int, []byte, error) {
	if atEOF {
		return 0, nil, ErrCut
	}
	return 0, nil, nil
}

// piece is the token data[from:to]; what stands before it is passed over.
func (s *ResponseSplitter) piece(data []byte, from, to int) (int, []byte, error) {
	s.total += to - from
	if s.Limits.Body > 0 && s.total > s.Limits.Body {
		return 0, nil, &Error{413, "body over the limit"}
	}
	return to, data[from:to], nil
}

func (s *ResponseSplitter) chunk(data []byte, atEOF bool) (int, []byte, error) {
	if s.left == 0 && s.inChunk { // the end of the chunk before
		if len(data) < 2 {
			return s.wait(data, atEOF)
		}
		if blank(data) == 0 {
			return 0, nil, bad("chunk without its end")
		}
		s.inChunk = false
		return 2, nil, nil
	}
	if s.left > 0 {
		if len(data) == 0 {
			return s.wait(data, atEOF)
		}
		n := min(s.left, len(data))
		s.left -= n
		return s.piece(data, 0, n)
	}
	size, line, err := chunkSize(data)
	if err != nil {
		return 0, nil, err
	}
	if line == 0 {
		return s.wait(data, atEOF)
	}
	if size == 0 {
		n, err := trailer(data[line:], s.Limits.Head)
		if err != nil {
			return 0, nil, err
		}
		if n == 0 {
			return s.wait(data, atEOF)
		}
		s.Done = true
		return line + n, data[:0], nil
	}
	s.left, s.inChunk = size, true
	return line, nil, nil
}

func (s *ResponseSplitter) parse(head []byte) error {
	first, h, err := parseHead(head)
	if err != nil {
		return err
	}
	version, rest, _ := strings.Cut(first, " ")
	code, _, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	n, err := strconv.Atoi(code)
	if !ok || len(minor) != 1 || err != nil || len(code) != 3 || n < 100 {
		return bad("status line %q", first)
	}
	if s.how, err = h.framing(); err != nil {
		return err
	}
	s.Status, s.Header, s.Close = n, h, h.closes(minor[0])
	if n < 200 { // interim: the real one follows
		s.seen = 0
		return nil
	}
	s.inBody, s.left = true, max(0, s.how.length)
	if s.how.length == 0 || n == 204 || n == 304 {
		s.Done = true
	}
	if !s.how.chunked && s.how.length < 0 {
		s.Close = true
	}
	return nil
}
