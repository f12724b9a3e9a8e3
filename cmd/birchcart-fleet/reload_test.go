package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/standin"
)

// moveDiscovery writes a configuration with another address of discovery for each co-ordinator.
func (s *site) moveDiscovery(address string) {
	s.Helper()
	for i := range s.serve {
		name := fmt.Sprint("config", i)
		raw, err := os.ReadFile(filepath.Join(s.dir, name))
		if err != nil {
			s.Fatal(err)
		}
		var config map[string]any
		if err := json.Unmarshal(raw, &config); err != nil {
			s.Fatal(err)
		}
		config["discovery"] = address
		s.writeFile(name, s.json(config))
	}
}

// allLogged returns a condition: the logs of all co-ordinators contain a text.
func (s *site) allLogged(text string) func() bool {
	return func() bool {
		for i := range s.serve {
			if !s.logContains(i, text)() {
				return false
			}
		}
		return true
	}
}

// Of the three files that SIGHUP reads again, one that fails must keep no other out of force: an operators' file with a new request counts
// beside keys that can't be read, and new keys and a move of discovery count beside an operators' file that is refused.
func TestReloadWithOneFailingFile(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, 0, 1, 2)
	s.startAll()
	s.writeFile("keys", []byte("c2hvcnQ=\n"))
	s.writeOperatorFiles(false, map[string]any{"names": []string{"r0"}, "reason": "disk", "for_s": 20})
	s.reloadAll()
	s.waitFor("the drain is acknowledged beside keys that can't be read", s.phaseReached("r0", maintenance.Acknowledged))
	s.waitFor("the keys are named", s.allLogged("the keys file can't be read again"))
	s.waitFor("the keys before are kept", s.allLogged("the keys file is left as it was"))

	second, err := standin.NewDiscovery(s.fleet.Discovery.List().Endpoints)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	former := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	added := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{8}, 32))
	s.writeFile("keys", []byte(former+"\n"+added+"\n"))
	for i := range s.serve {
		s.writeFile(fmt.Sprint("operator", i), []byte(`{"version":1}`)) // a fleet section can only be removed at a restart
	}
	s.moveDiscovery(second.Address())
	s.reloadAll()
	s.waitFor("the operators' file is refused", s.allLogged("the operators' file can't be used"))
	s.waitFor("the keys are read", s.allLogged("the keys file was read again"))
	s.waitFor("discovery is moved", s.allLogged(`to="`+second.Address()))
}
