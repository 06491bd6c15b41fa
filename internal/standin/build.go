// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// BuildNode builds the node's binary in a directory, with the race detector or without it, and returns its path.
func BuildNode(dir string, isRaceEnabled bool) (string, error) {
	path := filepath.Join(dir, "leverdyked")
	args := []string{"build", "-o", path}
	if isRaceEnabled {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "github.com/leverdyke/leverdyke/cmd/leverdyked")...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("standin: %w: %s", err, out)
	}
	return path, nil
}
