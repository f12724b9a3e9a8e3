package ogc

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/logs"
)

// failingListener fails as many accepts as it has errors, and then accepts.
type failingListener struct {
	*net.TCPListener
	errors chan error
}

func (l failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errors:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	default:
		return l.TCPListener.Accept()
	}
}

// Guards against an accept that fails for a moment and ends the front, and with it the process and all open queries.
func TestServeSurvivesFailingAccepts(t *testing.T) {
	for _, err := range []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EPROTO} {
		t.Run(err.Error(), func(t *testing.T) {
			ln, listenErr := net.Listen("tcp", "127.0.0.1:0")
			if listenErr != nil {
				t.Fatal(listenErr)
			}
			failing := failingListener{ln.(*net.TCPListener), make(chan error, 2)}
			failing.errors <- err
			failing.errors <- err
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			s := &Server{http: &http.Server{Handler: http.NotFoundHandler()}, conns: map[*clientConn]struct{}{},
				log: logs.Limit(logrus.NewEntry(logger), time.Second)}
			s.listener = newLimitListener(failing, s, 1)
			ended := make(chan error, 1)
			go func() { ended <- s.Serve() }()
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			if resp, getErr := client.Get("http://" + ln.Addr().String()); getErr != nil {
				t.Errorf("the front does not serve: %v", getErr)
			} else {
				resp.Body.Close()
			}
			s.Close()
			if err := <-ended; err != nil {
				t.Errorf("the front ended with %v", err)
			}
		})
	}
}
