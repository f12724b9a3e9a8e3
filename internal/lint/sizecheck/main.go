// Command sizecheck fails when a Go file or function of the named packages is larger than the project allows: a file
// that is not a test over MaxFileLines lines, or a function over MaxFuncLines lines whose body does not begin with a
// comment that starts with LongMarker and gives the reason.
//
// Usage:
//
//	go run ./internal/lint/sizecheck DIR...
//
// Each DIR is a package's folder; its test files are read for functions too, but not held to the file limit.
package main

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"sort"
	"strings"
)

const (
	// MaxFileLines is the most lines a non-test file may have: past it a file almost always holds more than one job.
	MaxFileLines = 400
	// MaxFuncLines is the most lines a function may have, from its signature to its closing brace, without a reason.
	MaxFuncLines = 60
	// LongMarker begins the comment on the first line of a longer function's body that says why it is not split.
	LongMarker = "// Long:"
)

// Finding is one file or function over its limit.
type Finding struct {
	Position token.Position
	What     string
	Lines    int
	Limit    int
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s has %d lines, %d at most", f.Position, f.What, f.Lines, f.Limit)
}

// errUsage is returned when no folder is named.
var errUsage = errors.New("usage: sizecheck DIR [DIR]")

func main() {
	findings, err := checkDirs(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "sizecheck:", err)
		os.Exit(2)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}

// checkDirs checks the Go files of each folder and returns what is over its limit, in the order of file and line.
func checkDirs(dirs []string) ([]Finding, error) {
	if len(dirs) == 0 {
		return nil, errUsage
	}
	var findings []Finding
	for _, dir := range dirs {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			return nil, fmt.Errorf("folder %s: %w", dir, err)
		}
		if len(files) == 0 {
			return nil, fmt.Errorf("folder %s: no Go files", dir)
		}
		for _, file := range files {
			found, err := checkFile(file)
			if err != nil {
				return nil, err
			}
			findings = append(findings, found...)
		}
	}
	sort.SliceStable(findings, func(i, j int) bool {
		a, b := findings[i].Position, findings[j].Position
		if a.Filename != b.Filename {
			return a.Filename < b.Filename
		}
		return a.Line < b.Line
	})
	return findings, nil
}

// checkFile parses one file and returns its findings.
func checkFile(path string) ([]Finding, error) {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments)
	if err != nil {
		return nil, fmt.Errorf("file %s: %w", path, err)
	}
	var findings []Finding
	lines := fileSet.File(file.Pos()).LineCount()
	if !strings.HasSuffix(path, "_test.go") && lines > MaxFileLines {
		findings = append(findings, Finding{
			Position: token.Position{Filename: path, Line: 1},
			What:     "file",
			Lines:    lines,
			Limit:    MaxFileLines,
		})
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		if finding, over := checkFunc(fileSet, file, function); over {
			findings = append(findings, finding)
		}
	}
	return findings, nil
}

// checkFunc reports a function over MaxFuncLines lines that gives no reason.
func checkFunc(fileSet *token.FileSet, file *ast.File, function *ast.FuncDecl) (Finding, bool) {
	start := fileSet.Position(function.Type.Pos())
	end := fileSet.Position(function.Body.Rbrace)
	lines := end.Line - start.Line + 1
	if lines <= MaxFuncLines || hasReason(fileSet, file, function) {
		return Finding{}, false
	}
	return Finding{Position: start, What: "function " + funcName(function), Lines: lines, Limit: MaxFuncLines}, true
}

// hasReason tells whether the first line of the body is a comment that begins with LongMarker.
func hasReason(fileSet *token.FileSet, file *ast.File, function *ast.FuncDecl) bool {
	firstLine := fileSet.Position(function.Body.Lbrace).Line + 1
	for _, group := range file.Comments {
		for _, comment := range group.List {
			if fileSet.Position(comment.Pos()).Line == firstLine && strings.HasPrefix(comment.Text, LongMarker) {
				return strings.TrimSpace(strings.TrimPrefix(comment.Text, LongMarker)) != ""
			}
		}
	}
	return false
}

// funcName is the name of a function, with its receiver's type for a method.
func funcName(function *ast.FuncDecl) string {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if index, ok := receiver.(*ast.IndexExpr); ok {
		receiver = index.X
	}
	if ident, ok := receiver.(*ast.Ident); ok {
		return ident.Name + "." + function.Name.Name
	}
	return function.Name.Name
}
