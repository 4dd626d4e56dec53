// Harness runs the scripts of the review: it starts the project's own program beside stand-ins for the platform, its
// store, backends and clients, and checks a rule by what clients and backends saw.
//
// Usage, in the root of the repository: review/bin/harness CASE FOLDER. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// outcome is the result of a case: broken says that the rule was broken.
type outcome struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world, trouble bool) outcome{
	"memory": memory,
	"split":  split,
	"upload": upload,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, folder string, trouble bool) (status int) {
	var w *world
	defer func() {
		if r := recover(); r != nil {
			fmt.Println("the case could not run:", r)
			status = 2
		}
		if w != nil {
			w.close()
		}
	}()
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("the case could not run: it takes too long")
		if w != nil {
			w.close()
		}
		os.Exit(2)
	})
	w = newWorld(folder)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	background.Go(func() {
		<-stop
		w.close()
		os.Exit(2)
	})
	w.note("case %s, disruption: %v", name, trouble)
	out := cases[name](w, trouble)
	w.note("%s", out.text)
	fmt.Println(out.text)
	if out.broken {
		w.note("the rule was BROKEN")
		fmt.Println("the rule was BROKEN")
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
