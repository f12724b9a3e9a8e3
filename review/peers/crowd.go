package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"birchcart/internal/standin"
)

// Figures of the case.
const (
	silentClients = 600                   // the page: other clients connect by hundreds and say nothing
	crowdFor      = 20 * time.Second      // how long they keep coming
	readerWork    = 50 * time.Millisecond // of a part at a reader
	exampleGiveUp = 3 * time.Second       // give_up_s of species-search in deploy/counts.json
)

// silentCrowd: queries of both protocols while some hundreds of other clients connect to the front for feature queries and say
// nothing, and connect again when they are turned away.
func silentCrowd(r *caseRun) error {
	places := examplePlaces()
	counts := standin.MakeCounts(59, places, 20)
	d, err := r.startExample(func(_ int, a standin.Asked) standin.Does {
		does := counts.Does(a)
		does.After = readerWork
		return does
	})
	if err != nil {
		return err
	}
	var clients, crowd sync.WaitGroup
	ask := func(n int) {
		clients.Go(func() { r.askOnce(fmt.Sprintf("feature query %d", n), d.featureQuery(places[n]), exampleGiveUp) })
		clients.Go(func() { r.askOnce(fmt.Sprintf("user query %d", n), d.userQuery(n), exampleGiveUp) })
	}
	ask(0)
	clients.Wait()
	stop := make(chan struct{})
	var connected, open atomic.Int64
	if r.trouble {
		r.note("%d other clients connect to the front for feature queries and say nothing", silentClients)
		for range silentClients {
			crowd.Go(func() { stayForCrowd(d.features, stop, &connected, &open) })
		}
		time.Sleep(time.Second)
		r.note("%d of them are connected", open.Load())
	}
	for n := 1; n <= 10; n++ {
		ask(n)
		time.Sleep(time.Second)
	}
	time.Sleep(crowdFor - 11*time.Second)
	clients.Wait()
	close(stop)
	crowd.Wait()
	r.note("the others connected %d times in all", connected.Load())
	return nil
}

// stayForCrowd connects and says nothing, again and again as it is turned away, with a pause.
func stayForCrowd(address string, stop <-chan struct{}, connected, open *atomic.Int64) {
	for {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			connected.Add(1)
			open.Add(1)
			ended := make(chan struct{})
			go func() {
				io.Copy(io.Discard, c) // returns once it is turned away
				close(ended)
			}()
			select {
			case <-ended:
			case <-stop:
			}
			c.Close()
			<-ended
			open.Add(-1)
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (e *example) featureQuery(place standin.Place) *http.Request {
	b := place.Bound
	box := fmt.Sprintf("%g,%g,%g,%g", b.Min[0]+0.1, b.Min[1]+0.1, b.Max[0]-0.1, b.Max[1]-0.1)
	req, err := http.NewRequest(http.MethodGet, "http://"+e.features+"/collections/counts/items?bbox="+url.QueryEscape(box), nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Api-Key", "example-key-north")
	return req
}

func (e *example) userQuery(n int) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.listen+"/species-search",
		strings.NewReader(fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":1}],"body":"c41e77d0"}`, n%24)))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Request-ID", fmt.Sprintf("u%05d", n))
	req.Header.Set("X-Tenant-Id", "south")
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(exampleGiveUp.Milliseconds()))
	return req
}
