// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// BuildNode builds the node's binary in a directory, and returns its path.
func BuildNode(dir string) (string, error) {
	path := filepath.Join(dir, "leverdyked")
	if out, err := exec.Command("go", "build", "-o", path, "github.com/leverdyke/leverdyke/cmd/leverdyked").CombinedOutput(); err != nil {
		return "", fmt.Errorf("standin: %w: %s", err, out)
	}
	return path, nil
}
