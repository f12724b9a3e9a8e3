package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"birchcart/internal/duplexconn"
	"birchcart/internal/h1"
)

// stream reads responses from one connection.
type stream struct {
	conn           *listConn
	fullList       bool      // its first answer is the full list
	startedAt      time.Time // before it was dialled
	scanner        *bufio.Scanner
	splitter       h1.ResponseSplitter
	objects        objectScanner
	deadline       time.Time // when what is waited for has to be complete, however many bytes of it come: an answer, an object or a heartbeat
	answerDeadline time.Time // once its first byte has come: when the answer has to be complete; zero once that is in force
	lateBytes      int       // bytes read after that
	cancel         context.CancelFunc
	watching       bool // the watch was answered
}

func (s *stream) close() { s.cancel() }

// setDeadline sets the time for what is waited for now.
func (s *stream) setDeadline(deadline time.Time) {
	s.deadline, s.answerDeadline, s.lateBytes = deadline, time.Time{}, 0
}

// Read reads until the deadline. What has arrived by then and was not read, since this process had no processor, counts as in
// time, up to the maximum size of an object: our own standstill is not the agent's silence.
func (s *stream) Read(p []byte) (int, error) {
	s.conn.SetReadDeadline(s.deadline)
	n, err := s.conn.Read(p)
	if timedOut(err) && s.lateBytes < s.objects.maxSize && duplexconn.Waits(s.conn.Conn) {
		s.conn.SetReadDeadline(time.Time{}) // there is something: it does not wait
		n, err = s.conn.Read(p)
		s.lateBytes += n
	}
	if timedOut(err) {
		err = errTimeout
	}
	if n > 0 && !s.answerDeadline.IsZero() { // it has begun to answer
		s.deadline, s.answerDeadline = s.answerDeadline, time.Time{}
	}
	return n, err
}

func timedOut(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// sendGet requests a target and reads the head of the response.
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
		return fmt.Errorf("%s answered %d", target, s.splitter.Status)
	}
	return nil
}

func (s *stream) scanError() error {
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return errors.New("the connection ended")
}

// nextPiece is a piece of the body, valid until the next call.
func (s *stream) nextPiece() ([]byte, error) {
	if !s.scanner.Scan() {
		return nil, s.scanError()
	}
	return s.scanner.Bytes(), nil
}

// readList reads the response to its end, which has to hold one object. Where the end is that of the connection, or it closes
// after the answer anyway, the object's end will do: a connection that stays open, or is reset, adds nothing to it.
func (s *stream) readList() error {
	found := false
	for !s.splitter.Done && !(found && s.splitter.Close) {
		piece, err := s.nextPiece()
		if err != nil {
			return err
		}
		for len(piece) > 0 {
			n, what, err := s.objects.scan(piece)
			if err != nil {
				return err
			}
			if piece = piece[n:]; what != foundObject {
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
