// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
)

// cases has the cases by name. Each returns what was broken, empty if the rule held.
var cases = map[string]func() (string, error){
	"wide-job":   playWideJob,
	"crash-loop": playCrashLoop,
	"harm":       playHarm,
	"hopeless":   playHopeless,
	"past-job":   playPastSchedule,
	"most-lost":  playMostLost,
}

func main() {
	// A node is killed when the thread that started it ends.
	runtime.LockOSThread()
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: RECORD=FILE [TROUBLE=0] cases2 NAME")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]]()
	switch {
	case errors.Is(err, errCannotRun):
		fmt.Println(err)
		os.Exit(2)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}
