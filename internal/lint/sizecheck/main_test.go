package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// source is a file of package p with one function of bodyLines lines in its body, whose first line is firstLine.
func source(bodyLines int, firstLine string, padding int) string {
	var b strings.Builder
	b.WriteString("package p\n\nfunc f() {\n")
	if firstLine != "" {
		b.WriteString("\t" + firstLine + "\n")
		bodyLines--
	}
	for i := range bodyLines {
		fmt.Fprintf(&b, "\t_ = %d\n", i)
	}
	b.WriteString("}\n")
	for range padding {
		b.WriteString("\n")
	}
	return b.String()
}

func TestCheckDirs(t *testing.T) {
	cases := []struct {
		name string
		file string
		text string
		want []string
	}{
		{"function of 60 lines: passes", "a.go", source(58, "", 0), nil},
		{"function of 61 lines: fails", "a.go", source(59, "", 0), []string{"function f has 61 lines, 60 at most"}},
		{"function of 61 lines with a reason: passes", "a.go", source(59, "// Long: a table that is read as one", 0), nil},
		{"function of 61 lines with an empty reason: fails", "a.go", source(59, "// Long:", 0), []string{"function f has 61 lines"}},
		{"file of 401 lines: fails", "a.go", source(3, "", 394), []string{"file has 401 lines, 400 at most"}},
		{"test file of 401 lines: passes", "a_test.go", source(3, "", 394), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, c.file), []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			findings, err := checkDirs([]string{dir})
			if err != nil {
				t.Fatal(err)
			}
			if len(findings) != len(c.want) {
				t.Fatalf("findings %v, want %d", findings, len(c.want))
			}
			for i, want := range c.want {
				if got := findings[i].String(); !strings.Contains(got, want) {
					t.Errorf("finding %q, want it to say %q", got, want)
				}
			}
		})
	}
}

func TestCheckDirsRefusesBadInput(t *testing.T) {
	if _, err := checkDirs(nil); !errors.Is(err, errUsage) {
		t.Errorf("no folder: %v, want %v", err, errUsage)
	}
	if _, err := checkDirs([]string{t.TempDir()}); err == nil || !strings.Contains(err.Error(), "no Go files") {
		t.Errorf("empty folder: %v", err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "bad.go"), []byte("package p\nfunc {"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := checkDirs([]string{dir}); err == nil || !strings.Contains(err.Error(), "bad.go") {
		t.Errorf("file that does not parse: %v, want its name", err)
	}
}
