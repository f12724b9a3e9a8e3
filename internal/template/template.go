// Package template renders the operators' files: Jsonnet to JSON, within bounds of time, memory, size and place.
//
// A template may recurse for ever or build a list of a billion, and an evaluation can't be stopped from within, so each
// runs in a child process: the same program, which enters Child first thing in its main. The parent ends it when its
// time is up; the kernel refuses it more memory than its limit. A file may import only from its own folder and below.
// The package never reads anything else, and it is linked into the operators' tools only.
package template

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/google/go-jsonnet"
)

// Bounds of one rendering.
const (
	FileMost   = 1 << 20         // bytes of a file and of each that it imports: thousands of squares are 0.1 MB
	RenderMost = 8 << 20         // bytes of the rendered JSON
	TimeMost   = 4 * time.Second // for all of it; a file of 1,000 squares takes 0.1 s
	memoryMost = 200 << 20       // bytes that the child may ask for beyond those of its start
	stackMost  = 400             // calls within calls
	refused    = 1               // exit status of a child that says why; one that breaks down has another
)

const childVariable = "BIRCHCART_TEMPLATE_CHILD"

// Source is what to render.
type Source struct {
	Path string
	Root string            // the folder that imports may come from, with those below; the file's own if empty
	Vars map[string]string // external variables, as texts
}

// Child renders for a parent and does not return if this process was started for that; otherwise it does nothing.
// Every program that calls Render must call it at the start of its main.
func Child() {
	if os.Getenv(childVariable) == "" {
		return
	}
	most := held() + memoryMost
	limit := syscall.Rlimit{Cur: most, Max: most}
	if err := syscall.Setrlimit(syscall.RLIMIT_DATA, &limit); err != nil {
		fmt.Fprintln(os.Stderr, "the memory of a template can't be bounded:", err)
		os.Exit(refused)
	}
	debug.SetMemoryLimit(memoryMost / 2) // collect hard before the kernel refuses
	var req Source
	err := json.NewDecoder(os.Stdin).Decode(&req)
	var text string
	if err == nil {
		text, err = evaluate(req)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(refused)
	}
	if _, err := io.WriteString(os.Stdout, text); err != nil {
		os.Exit(refused)
	}
	os.Exit(0)
}

// held is how many bytes of writable memory the process has at its start: little, but for instrumented builds.
func held() uint64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident, shared, text, lib, data uint64 // pages
	if _, err := fmt.Sscan(string(raw), &size, &resident, &shared, &text, &lib, &data); err != nil {
		return 0
	}
	return data * uint64(os.Getpagesize())
}

// Render renders a Jsonnet file to JSON. Plain JSON is Jsonnet too.
func Render(ctx context.Context, src Source) ([]byte, error) {
	path := src.Path
	if _, err := readBounded(path); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("%s: the program can't find itself to render it: %w", path, err)
	}
	in, err := json.Marshal(src)
	if err != nil {
		return nil, err
	}
	bounded, stop := context.WithTimeout(ctx, TimeMost)
	defer stop()
	cmd := exec.CommandContext(bounded, self)
	cmd.Env = append(os.Environ(), childVariable+"=1", "GOMAXPROCS=2", "GOTRACEBACK=none")
	cmd.Stdin = bytes.NewReader(in)
	cmd.WaitDelay = time.Second
	out, told := &capped{most: RenderMost}, &capped{most: 64 << 10}
	cmd.Stdout, cmd.Stderr = out, told
	err = cmd.Run()
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case bounded.Err() != nil:
		return nil, fmt.Errorf("%s: the template takes more than %v: does it recurse or loop without end?", path, TimeMost)
	case out.over:
		return nil, fmt.Errorf("%s: it renders to more than %d MB", path, RenderMost>>20)
	case err != nil && cmd.ProcessState != nil && cmd.ProcessState.ExitCode() != refused: // refused memory, in one of many ways
		return nil, fmt.Errorf("%s: the template takes more than %d MB of memory", path, memoryMost>>20)
	case err != nil:
		text := strings.TrimSpace(told.String())
		if text == "" {
			text = err.Error()
		}
		return nil, fmt.Errorf("%s: %s", path, text)
	}
	return out.Bytes(), nil
}

// capped keeps the first bytes of what is written and takes the rest.
type capped struct {
	bytes.Buffer
	most int
	over bool
}

func (c *capped) Write(p []byte) (int, error) {
	if c.Len()+len(p) > c.most {
		c.over = true
		return len(p), nil
	}
	return c.Buffer.Write(p)
}

func evaluate(req Source) (string, error) {
	vm := jsonnet.MakeVM()
	vm.MaxStack = stackMost
	for name, value := range req.Vars {
		vm.ExtVar(name, value)
	}
	path, err := realPath(req.Path)
	if err != nil {
		return "", err
	}
	root := filepath.Dir(path)
	if req.Root != "" {
		if root, err = realPath(req.Root); err != nil {
			return "", err
		}
	}
	vm.Importer(&importer{root: root, seen: map[string]jsonnet.Contents{}})
	return vm.EvaluateFile(path)
}

func realPath(path string) (string, error) {
	abs, err := filepath.Abs(path)
	if err != nil {
		return "", err
	}
	return filepath.EvalSymlinks(abs)
}

// importer reads files in the root and below, following links only as far.
type importer struct {
	root string
	seen map[string]jsonnet.Contents
}

func (im *importer) Import(from, path string) (jsonnet.Contents, string, error) {
	full := path
	if !filepath.IsAbs(path) {
		full = filepath.Join(filepath.Dir(from), path)
	}
	real, err := filepath.EvalSymlinks(full)
	if err != nil {
		return jsonnet.Contents{}, "", fmt.Errorf("%s can't be read: %w", path, cause(err))
	}
	if rel, err := filepath.Rel(im.root, real); err != nil || rel == ".." || strings.HasPrefix(rel, "../") {
		return jsonnet.Contents{}, "", fmt.Errorf("%s lies outside of the file's own folder; import from there or below", path)
	}
	if c, ok := im.seen[real]; ok {
		return c, real, nil
	}
	raw, err := readBounded(real)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	im.seen[real] = jsonnet.MakeContentsRaw(raw)
	return im.seen[real], real, nil
}

func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, cause(err))
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: it is not a plain file", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, cause(err))
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, FileMost+1))
	if err == nil && len(raw) > FileMost {
		err = fmt.Errorf("larger than %d MB, which no file of settings is", FileMost>>20)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return raw, nil
}

// cause is an error without the path, which the message has already.
func cause(err error) error {
	var pe *os.PathError
	if errors.As(err, &pe) {
		return pe.Err
	}
	return err
}
