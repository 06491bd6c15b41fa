// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"io"
	"net"
	"time"
)

// sendRaw writes bytes to an address and waits until the other side closes the connection.
func sendRaw(addr, text string) error {
	c, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	_, _ = io.Copy(io.Discard, c)
	return nil
}
