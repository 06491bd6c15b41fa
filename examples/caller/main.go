// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

// Command caller shows how a caller sends a request that may not be repeated:
// one key for all its tries, and the verdict decides what to do next.
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

// file sends the deed until it is known what became of it.
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
			// Nothing ran: a new key is a new try.
			if key, err = uuid.NewV7(); err != nil {
				return err
			}
		}
		// May have run, or no answer at all: the same key gets the first answer,
		// and never a second run.
		time.Sleep(retryInterval)
	}
	return fmt.Errorf("caller: what became of %s is not known: ask the register before filing again", key)
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
