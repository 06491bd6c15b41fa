// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package crash

import "github.com/leverdyke/leverdyke/internal/work"

// OutlastedRun is a run that has lasted for WeakWindow, of a task against which there is evidence. An owner
// hands it on, so that a crash of the worker while the owner changes is no further evidence.
type OutlastedRun struct {
	_msgpack struct{} `msgpack:",as_array"`

	Task   work.TaskID
	Run    uint64
	Worker string
}
