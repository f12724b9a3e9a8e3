package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const start = "BATCH\tat_time_s=1\nHELLO\tco-ordinator=0\tseed=1\tclasses.count=1\tclasses.0.name=a\tclasses.0.promise_s=1\t" +
	"classes.0.give_up_s=2\tclasses.0.semantics=repeatable\tfamily_info.cells=1\tfamily_info.reach=1\nYOUR_TURN\n"

// The test binary stands in for the command when it is started with this variable set.
func TestMain(m *testing.M) {
	if os.Getenv("BIRCHCART_SIM_MAIN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Malformed or unknown input ends the process with one line that names it, and a status that is not zero.
func TestBadInputEndsInOneErrorAndANonZeroExit(t *testing.T) {
	for in, want := range map[string]string{
		"nonsense\n": "line 1",
		"BATCH\tat_time_s=1\nREQ\tco-ordinator=5\trid=1\tsegment_no=-1\nYOUR_TURN\n":       "instance 5",
		start + "BATCH\tat_time_s=2\nNEWS\tco-ordinator=0\nYOUR_TURN\n":                    `unknown message "NEWS"`,
		start + "BATCH\tat_time_s=2\nREQ\tco-ordinator=0\trid=1\tpriority=zz\nYOUR_TURN\n": `"priority"`,
		start + "BATCH\tat_time_s=2\nALARM\tco-ordinator=0\thandle=1\n":                    "input ended",
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "BIRCHCART_SIM_MAIN=1")
		cmd.Stdin = strings.NewReader(in)
		var errs bytes.Buffer
		cmd.Stderr = &errs
		var exit *exec.ExitError
		if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() == 0 {
			t.Errorf("%q: ended with %v", in, err)
		}
		if s := errs.String(); strings.Count(s, "\n") != 1 || !strings.Contains(s, want) {
			t.Errorf("%q: said %q, want one line with %q", in, s, want)
		}
	}
}

// Legal events that name nothing known are passed over, and the end of input is a clean exit.
func TestUnknownIDsArePassedOver(t *testing.T) {
	in := start + "BATCH\tat_time_s=2\nLAPSED\tco-ordinator=0\trid=9\nALARM\tco-ordinator=0\thandle=8\n" +
		"CLOSED_ATTEMPT\tco-ordinator=0\trid=9\tsend_no=3\treplica=7\treason=OK\twait_time_s=1\n" +
		"ECHO\tco-ordinator=0\treplica=7\treason=OK\nREQ\tco-ordinator=0\trid=4\tgroup_no=3\tsegment_no=0\tpriority=a\nYOUR_TURN\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if s := out.String(); strings.Count(s, "NEXT\n") != 2 || strings.Contains(s, "ATTEMPT") {
		t.Fatalf("replied %q", s)
	}
}
