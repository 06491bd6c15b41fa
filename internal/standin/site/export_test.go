// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package site

// ClaimSlot claims an address slot as another process would. free releases it.
func ClaimSlot() (number int, free func() error, err error) {
	s, err := claimSlot()
	if err != nil {
		return 0, nil, err
	}
	return s.number, s.listener.Close, nil
}
