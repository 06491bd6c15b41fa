// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

// ClaimSlot takes a slot as another process would.
func ClaimSlot() (number int, free func() error, err error) {
	s, err := claimSlot()
	if err != nil {
		return 0, nil, err
	}
	return s.number, s.listener.Close, nil
}
