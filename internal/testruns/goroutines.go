// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package testruns

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
)

// Concurrency returns where a file starts a goroutine, uses a channel or imports a package to
// synchronize goroutines. Code without any of these does not need the race detector.
func Concurrency(name, source string) ([]string, error) {
	files := token.NewFileSet()
	f, err := parser.ParseFile(files, name, source, parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("testruns: %w", err)
	}
	found := []string{}
	report := func(n ast.Node, what string) {
		found = append(found, fmt.Sprintf("%s: %s", files.Position(n.Pos()), what))
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			report(n, "starts a goroutine")
		case *ast.ChanType:
			report(n, "uses a channel")
		case *ast.ImportSpec:
			if path := strings.Trim(n.Path.Value, `"`); path == "sync" || path == "sync/atomic" {
				report(n, "imports "+path)
			}
		}
		return true
	})
	return found, nil
}
