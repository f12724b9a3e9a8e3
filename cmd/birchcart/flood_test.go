package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// floods are requests that one client sends on one connection at full speed, by front, users' first.
var floods = map[string][2]func(i int) string{
	"small queries under new names": {
		func(i int) string {
			const body = `{"buckets":[{"bucket":2,"part":1}],"body":"c41e77d0"}`
			return fmt.Sprintf("POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: flood%d\r\nX-Timeout-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
		},
		func(i int) string {
			return fmt.Sprintf("GET /collections/search/items?limit=1&count=%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		},
	},
	"unsound requests under new names": {
		func(i int) string {
			return fmt.Sprintf("POST /none%d HTTP/1.1\r\nHost: h\r\nX-Request-ID: flood%d\r\nContent-Length: 0\r\n\r\n", i, i)
		},
		func(i int) string { return fmt.Sprintf("GET /collections/none%d HTTP/1.1\r\nHost: h\r\n\r\n", i) },
	},
}

// Guards against one client that sends at full speed and brings the process over its memory, or keeps others from their answers.
func TestFloodOnOneConnectionDelaysNoOne(t *testing.T) {
	if testing.Short() {
		t.Skip("under the race detector memory is not that of the program")
	}
	for name, requests := range floods {
		for i, front := range []string{"users", "features"} {
			for _, pipelined := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/pipelined_%v", front, name, pipelined), func(t *testing.T) {
					expectOthersServed(t, 1, func(addresses [2]string, stop <-chan struct{}) {
						playFlood(addresses[i], requests[i], pipelined, stop)
					})
				})
			}
		}
	}
}

// playFlood sends requests without a pause, and on a new connection whenever the server has closed one.
func playFlood(address string, request func(i int) string, pipelined bool, stop <-chan struct{}) {
	for i := 0; ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		if pipelined {
			go io.Copy(io.Discard, conn)
		}
		for err == nil {
			select {
			case <-stop:
				conn.Close()
				return
			default:
			}
			conn.SetDeadline(time.Now().Add(crowdTime))
			i++
			if _, err = io.WriteString(conn, request(i)); err == nil && !pipelined {
				err = discardAnswer(reader)
			}
		}
		conn.Close()
	}
}

// discardAnswer reads one answer, and returns an error if it is the connection's last.
func discardAnswer(reader *bufio.Reader) error {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err == nil && resp.Close {
		err = io.EOF
	}
	return err
}
