// Command stand plays the cases of this review with stand-ins of the platform, its servers and its
// clients. It starts the project's own program as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

func main() {
	plays := map[string]func(dir string, rec *record, trouble bool) (broken bool){"recover": runRecover, "shed": runShed, "readd": runReadd, "forge": runForge, "lost": runLost}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		giveUp("usage: stand CASE FOLDER")
	}
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	dir, err := os.MkdirTemp("", "quaylead-review")
	must(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		giveUp("it was ended before its end")
	}()
	broken := plays[os.Args[1]](dir, rec, os.Getenv("TROUBLE") != "0")
	killAll()
	must(os.RemoveAll(dir))
	rec.line("the rule was broken: %v", broken)
	fmt.Println("the rule was broken:", broken)
	if broken {
		os.Exit(1)
	}
}
