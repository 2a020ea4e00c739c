// Command standin-2 plays the platform, its minions and its clients for the scripts of the
// second review, starts the system's own processes, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(notRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	// No run takes longer than a script may.
	time.AfterFunc(115*time.Second, func() {
		w.logf("the time is up")
		w.end()
		os.Exit(notRun)
	})
	// Nor does it leave processes behind when it is ended.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		w.logf("ended by %v", <-ended)
		w.end()
		os.Exit(notRun)
	}()
	code := play(w, os.Getenv("TROUBLE") != "0")
	w.logf("exit code %d", code)
	w.end()
	fmt.Println("exit code", code)
	os.Exit(code)
}

var cases = map[string]func(w *world, trouble bool) int{
	"advice":   advice,
	"crashes":  crashes,
	"lasting":  lasting,
	"moved":    moved,
	"stale":    stale,
	"suspects": suspects,
	"waiting":  waiting,
}
