// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package draining

import "syscall"

// withDescriptor calls f with the descriptor of a connection or a listener. It reports whether there is an open one.
func withDescriptor(socket any, f func(fd int)) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
