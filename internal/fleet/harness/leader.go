package harness

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strings"
)

// tail is the end of a process's log.
func (c *Cluster) tail(i int) string {
	raw, err := os.ReadFile(c.procs[i].Log)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(raw, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-25):], []byte("\n")))
}

var leads = regexp.MustCompile(leadsLine + `|` + yieldsLine + `|--- start `)

// Leader is the place of the process that leads, by what each says in its log last; the latest to say so counts. -1
// where none does. It only directs faults; no check believes it.
func (c *Cluster) Leader() int {
	out, latest := -1, ""
	for i, p := range c.procs {
		if !p.Running() {
			continue
		}
		raw, err := os.ReadFile(p.Log)
		if err != nil {
			continue
		}
		all := leads.FindAllIndex(raw, -1)
		if len(all) == 0 {
			continue
		}
		at := all[len(all)-1]
		if !regexp.MustCompile(leadsLine).Match(raw[at[0]:at[1]]) {
			continue
		}
		line := string(raw[bytes.LastIndexByte(raw[:at[0]], '\n')+1 : at[1]])
		when := regexp.MustCompile(`time="?([^" ]+)`).FindStringSubmatch(line)
		if key := strings.Join(slices.Concat(when, []string{""})[1:], ""); out < 0 || key > latest {
			out, latest = i, key
		}
	}
	return out
}
