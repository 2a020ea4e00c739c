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

// nonPanickingCalls lists calls that can't panic, as they are written in the
// source. Any other call under a lock must be in a function that unlocks by
// defer.
var nonPanickingCalls = []string{
	"append", "cap", "close", "copy", "delete", "len", "make", "max", "min", "string", "int64",
	"time.Now", "time.Since", "time.Until", "time.NewTimer", "slices.Clone", "maps.Clone",
}

// fakePackages simulate the platform in tests, where a panic fails the test
// anyway.
var fakePackages = []string{"emulate", "measure", "standin", "fakefleet", "fakeworkers", "memstore"}

// A panic between Lock and Unlock leaves the lock held: the restarted part, or a
// deferred call of the same goroutine, would block on it forever.
func TestCallsUnderLockCannotPanicUnlessUnlockIsDeferred(t *testing.T) {
	files := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(fakePackages, entry.Name()):
			return filepath.SkipDir
		case filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		for node := range ast.Preorder(file) {
			for _, call := range callsUnderLock(statements(node)) {
				t.Errorf("%s: %s may panic while a lock is held that is not released by defer", files.Position(call.Pos()), types.ExprString(call))
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

// callsUnderLock returns the calls that may panic between a Lock and its Unlock
// in one list of statements.
func callsUnderLock(list []ast.Stmt) []*ast.CallExpr {
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
			calls = append(calls, panickingCalls(statement)...)
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

func panickingCalls(statement ast.Stmt) []*ast.CallExpr {
	var calls []*ast.CallExpr
	for node := range ast.Preorder(statement) {
		call, ok := node.(*ast.CallExpr)
		if !ok || slices.Contains(nonPanickingCalls, types.ExprString(call.Fun)) {
			continue
		}
		if _, method := methodOf(call); !strings.HasSuffix(method, "Unlock") {
			calls = append(calls, call)
		}
	}
	return calls
}
