package supervise

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// harmless are calls that can't panic, by how they are written. Others may, and
// belong under a lock that is given back by defer.
var harmless = []string{
	"append", "cap", "close", "copy", "delete", "len", "make", "max", "min", "string", "int64",
	"time.Now", "time.Since", "time.Until", "time.NewTimer", "slices.Clone", "maps.Clone",
}

// standIns play the platform in tests: a panic in them fails the test.
var standIns = []string{"emulate", "measure", "standin", "fakefleet", "fakeworkers", "memstore"}

// Guards against a lock that a panic leaves held: the part that is restarted, or
// a deferred call of the same goroutine, would wait for it for ever.
func TestPanicsLeaveNoLockHeld(t *testing.T) {
	files := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(standIns, entry.Name()):
			return filepath.SkipDir
		case filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		for node := range ast.Preorder(file) {
			for _, call := range unguarded(statements(node)) {
				t.Errorf("%s: %s may panic under a lock that isn't given back by defer", files.Position(call.Pos()), types.ExprString(call))
			}
		}
		return nil
	})
	must.NoError(t, err)
}

func statements(node ast.Node) []ast.Stmt {
	switch node := node.(type) {
	case *ast.BlockStmt:
		return node.List
	case *ast.CaseClause:
		return node.Body
	case *ast.CommClause:
		return node.Body
	}
	return nil
}

// unguarded returns the calls between a Lock and its Unlock in one list of
// statements that may panic.
func unguarded(list []ast.Stmt) []*ast.CallExpr {
	var calls []*ast.CallExpr
	held := ""
	for i, statement := range list {
		lock, method := lockCall(statement)
		switch {
		case strings.HasSuffix(method, "Unlock"):
			held = ""
		case strings.HasSuffix(method, "Lock") && !unlocksNext(list[i+1:]):
			held = lock
		case held != "":
			calls = append(calls, harmful(statement)...)
		}
	}
	return calls
}

// lockCall returns the lock and the method of a statement like "x.mu.Lock()".
func lockCall(statement ast.Stmt) (lock, method string) {
	expression, ok := statement.(*ast.ExprStmt)
	if !ok {
		return "", ""
	}
	call, ok := expression.X.(*ast.CallExpr)
	if !ok {
		return "", ""
	}
	return methodOf(call)
}

func methodOf(call *ast.CallExpr) (receiver, method string) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", ""
	}
	return types.ExprString(selector.X), selector.Sel.Name
}

func unlocksNext(rest []ast.Stmt) bool {
	if len(rest) == 0 {
		return false
	}
	deferred, ok := rest[0].(*ast.DeferStmt)
	if !ok {
		return false
	}
	_, method := methodOf(deferred.Call)
	return strings.HasSuffix(method, "Unlock")
}

func harmful(statement ast.Stmt) []*ast.CallExpr {
	var calls []*ast.CallExpr
	for node := range ast.Preorder(statement) {
		call, ok := node.(*ast.CallExpr)
		if !ok || slices.Contains(harmless, types.ExprString(call.Fun)) {
			continue
		}
		if _, method := methodOf(call); !strings.HasSuffix(method, "Unlock") {
			calls = append(calls, call)
		}
	}
	return calls
}
