// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command caller shows how a caller sends a request that must not run twice: all attempts carry the same
// idempotency key, and the verdict of each answer decides what to do next.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/leverdyke/leverdyke"
)

const (
	maxAttempts   = 5
	retryInterval = time.Second
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: caller URL BODY, such as: caller http://127.0.0.1:7102/s/filing-check/deed 'outlet 12'")
		os.Exit(2)
	}
	if err := sendUntilKnown(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// sendUntilKnown sends the request until its outcome is known. It fails if no answer says so after maxAttempts.
func sendUntilKnown(url, body string) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for range maxAttempts {
		verdict, answer, err := send(url, body, key.String())
		switch {
		case err == nil && verdict == leverdyke.VerdictRan:
			fmt.Print(answer)
			return nil
		case err == nil && verdict == leverdyke.VerdictNotRun:
			// Nothing ran under this key and nothing will, so the next attempt needs a new key.
			if key, err = uuid.NewV7(); err != nil {
				return err
			}
		}
		// If the request may have run or no answer arrived, the next attempt uses the same key: it gets the
		// answer of the first run and never causes a second one.
		time.Sleep(retryInterval)
	}
	return fmt.Errorf("caller: the outcome of request %s is unknown: check the register before filing again", key)
}

func send(url, body, key string) (leverdyke.Verdict, string, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", "", err
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Leverdyke-Class", string(leverdyke.ClassUrgent))
	req.Header.Set("Leverdyke-Timeout", "5s")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	return leverdyke.Verdict(res.Header.Get(leverdyke.VerdictHeader)), string(answer), err
}
