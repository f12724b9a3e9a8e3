package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"birchcart/internal/duplexconn"
	"birchcart/internal/h1"
)

// stream sends requests on one connection and reads the responses.
type stream struct {
	conn           *listConn
	fullList       bool      // the first response is the full list, otherwise a watch
	startedAt      time.Time // when dialling began
	scanner        *bufio.Scanner
	splitter       h1.ResponseSplitter
	objects        objectScanner
	deadline       time.Time // when the awaited response, object or heartbeat must be complete; received bytes do not extend it
	answerDeadline time.Time // replaces deadline once the first byte of the response has arrived; zero after that
	lateBytes      int       // bytes read after the deadline
	cancel         context.CancelFunc
	firstRead      bool                      // readFirstObject has read an object
	rest           []byte                    // what it has read beyond that object
	watching       bool                      // the response head of a watch has arrived
	heardAt        atomic.Pointer[time.Time] // when the watch last reported a heartbeat, or a change after its first object; nil before that
}

// source names the call that the stream is reading the response of, for the log.
func (s *stream) source() string {
	if s.watching {
		return "watch"
	}
	return "full list"
}

// close closes the connection by cancelling its context.
func (s *stream) close() { s.cancel() }

// setDeadline sets the deadline of the next response, object or heartbeat.
func (s *stream) setDeadline(deadline time.Time) {
	s.deadline, s.answerDeadline, s.lateBytes = deadline, time.Time{}, 0
}

// Read reads until the deadline. Data that is in the receive buffer after the deadline is still accepted, up to the maximum size
// of an object: if this process was not scheduled, the agent must not be taken for silent.
func (s *stream) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(s.deadline)
	n, err := s.conn.Read(p)
	if timedOut(err) && s.lateBytes < s.objects.maxSize && duplexconn.Waits(s.conn.Conn) {
		s.conn.SetReadDeadline(time.Time{}) // data is available, so the read does not block
		n, err = s.conn.Read(p)
		s.lateBytes += n
	}
	if timedOut(err) {
		err = errTimeout
	}
	if n > 0 && !s.answerDeadline.IsZero() { // the first byte of the response
		s.deadline, s.answerDeadline = s.answerDeadline, time.Time{}
	}
	return n, err
}

// timedOut reports whether an error is a timeout of the network.
func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// sendGet sends a GET request and reads the head of the response, which must have status 200.
func (s *stream) sendGet(target, host string) error {
	s.splitter.Next()
	s.objects = objectScanner{object: s.objects.object[:0], maxSize: s.objects.maxSize}
	s.conn.SetWriteDeadline(s.deadline)
	if _, err := s.conn.Write(h1.AppendGet(nil, target, host)); err != nil {
		return err
	}
	for s.splitter.Status < 200 {
		if !s.scanner.Scan() {
			return s.scanError()
		}
	}
	if s.splitter.Status != 200 {
		return fmt.Errorf("GET %s: unexpected status %d", target, s.splitter.Status)
	}
	return nil
}

// scanError returns the reason for which the scanner has stopped.
func (s *stream) scanError() error {
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return errors.New("connection closed by discovery")
}

// nextPiece returns the next piece of the body, which is valid until the next call.
func (s *stream) nextPiece() ([]byte, error) {
	if !s.scanner.Scan() {
		return nil, s.scanError()
	}
	return s.scanner.Bytes(), nil
}

// readFirstObject reads a watch up to the end of its first object, until a deadline.
func (s *stream) readFirstObject(deadline time.Time) error {
	s.setDeadline(deadline)
	for {
		piece, err := s.nextPiece()
		if err != nil {
			return err
		}
		for len(piece) > 0 {
			n, found, err := s.objects.scan(piece)
			if err != nil {
				return err
			}
			if piece = piece[n:]; found == foundObject {
				s.firstRead, s.rest = true, piece
				return nil
			}
		}
	}
}

// readList reads a response that must hold exactly one object. If the connection closes with the response, the end of the object
// ends the response: whether the connection is then closed, reset or left open does not matter.
func (s *stream) readList() error {
	found := false
	for !s.splitter.Done && !(found && s.splitter.Close) {
		piece, err := s.nextPiece()
		if err != nil {
			return err
		}
		for len(piece) > 0 {
			n, result, err := s.objects.scan(piece)
			if err != nil {
				return err
			}
			if piece = piece[n:]; result != foundObject {
				continue
			}
			if found {
				return errMultipleLists
			}
			found = true
		}
	}
	if !found {
		return errNoList
	}
	return nil
}
