// Command dfpreviewtwo plays the cases of the second review: it starts the project's nodes as separate processes with a
// stand-in store, sound backends and clients on loopback addresses, and judges what clients and backends saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(rec *record, trouble bool) (int, error){}

func main() {
	path := flag.String("record", "record.txt", "file that receives what was sent, answered and run")
	flag.Parse()
	play, found := cases[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case:", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signal.Ignore(syscall.SIGPIPE)
	status, err := play(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		status = exitNotRun
	}
	rec.printf("exit status %d", status)
	os.Exit(status)
}
